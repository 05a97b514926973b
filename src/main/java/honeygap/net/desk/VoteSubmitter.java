package honeygap.net.desk;

import honeygap.DecisionEngine;
import honeygap.fleet.Build;
import honeygap.fleet.Pick;
import honeygap.net.EngineAdapter;
import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.http.ResponseParser;
import honeygap.net.http.Connection;
import honeygap.config.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Submits votes to the release desk, one at a time, and reports the result of each to the rules. */
public final class VoteSubmitter implements EngineAdapter.VoteSink, Counters.Group {

    /** The names of the verdicts in the desk's protocol, by value. */
    private static final String[] VERDICTS = {"none", "on", "hold", "back"};
    private static final int MAX_RESPONSE_LENGTH = 65536;

    private final Loop loop;
    private final DecisionEngine rules;
    private final RolloutStatusParser statusParser;
    private InetSocketAddress address;
    private final long responseTimeout;
    private PendingVote pending;
    private long submitted;
    private long unanswered;

    public VoteSubmitter(Loop loop, DecisionEngine rules, RolloutStatusParser statusParser, InetSocketAddress address,
            long responseTimeout) {
        this.loop = loop;
        this.rules = rules;
        this.statusParser = statusParser;
        this.address = address;
        this.responseTimeout = responseTimeout;
    }

    /** Sends subsequent votes to another address; a pending vote still completes at the previous one. */
    public void changeAddress(InetSocketAddress address) {
        this.address = address;
    }

    /** Submits a vote. A pending vote is closed: the rules vote again only after they have stopped waiting. */
    @Override
    public void vote(Build build, int stage, int verdict) {
        if (pending != null) {
            pending.close();
        }
        submitted++;
        pending = new PendingVote(build);
        pending.connection.post("Action=RecordOpinion&Revision=" + build.number + "&Wave=" + stage
                + "&Decision=" + VERDICTS[verdict]);
    }

    /** A vote on a connection of its own: votes are rare, and the desk closes idle connections. */
    private final class PendingVote implements ResponseParser.Handler {

        private final Build build;
        private final Connection connection;
        private final Loop.Timer timeout;
        private final StringBuilder body = new StringBuilder();
        private int status;
        private boolean isClosed;

        PendingVote(Build build) {
            this.build = build;
            timeout = loop.schedule(loop.now() + responseTimeout, () -> endedUnanswered(true));
            connection = new Connection(loop, address, this, (end, isSent) -> endedUnanswered(isSent));
        }

        void close() {
            isClosed = true;
            timeout.cancel();
            connection.close();
        }

        /**
         * The connection failed or timed out. If the request was sent completely, the desk may still count the vote.
         */
        private void endedUnanswered(boolean isSent) {
            unanswered++;
            reportFailure(isSent ? Pick.TIMEOUT : Pick.ERROR);
        }

        private void reportFailure(int outcome) {
            if (!isClosed) {
                close();
                loop.defer(() -> rules.rolloutReported(build, 0, 0, 0, true, loop.now(), outcome));
            }
        }

        @Override
        public void onHeadComplete(int status) {
            this.status = status;
        }

        @Override
        public void onData(ByteBuffer bytes) throws Malformed {
            if (body.length() + bytes.remaining() > MAX_RESPONSE_LENGTH) {
                throw new Malformed("response of the release desk exceeds the maximum length");
            }
            body.append(StandardCharsets.UTF_8.decode(bytes.duplicate()));
        }

        @Override
        public void onComplete() {
            String text = body.toString();
            if (status == 200) {
                try {
                    Runnable statusUpdate = statusParser.parseVoteResponse(text);
                    if (!isClosed) {
                        close();
                        loop.defer(statusUpdate);
                    }
                } catch (Malformed e) {
                    endedUnanswered(true);
                }
            } else if (status == 400 || status == 500) {
                switch (RolloutStatusParser.element(text, "Code")) {
                    case "too_many_calls" -> reportFailure(Pick.PUSHED_BACK);
                    case "out_of_date" -> reportFailure(Pick.NOT_EXECUTED);
                    case "unavailable", "bad_request" -> reportFailure(Pick.ERROR);
                    // A malformed response does not tell whether the desk has counted the vote.
                    default -> endedUnanswered(true);
                }
            } else {
                endedUnanswered(true);
            }
        }
    }

    @Override
    public void report(Counters counters) {
        counters.count("votes", submitted);
        counters.count("unanswered", unanswered);
    }
}
