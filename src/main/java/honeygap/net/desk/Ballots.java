package honeygap.net.desk;

import honeygap.Rules;
import honeygap.fleet.Build;
import honeygap.fleet.Pick;
import honeygap.net.Core;
import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.http.Answers;
import honeygap.net.http.Connection;
import honeygap.read.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Casts votes at the desk, one at a time, and hears how each was taken. */
public final class Ballots implements Core.Poll, Counters.Group {

    private static final String[] VERDICTS = {"none", "on", "hold", "back"};
    private static final int MAX_RESPONSE_LENGTH = 65536;

    private final Loop loop;
    private final Rules rules;
    private final News statusParser;
    private InetSocketAddress address;
    private final long responseTimeout;
    private PendingVote pending;
    private long submitted;
    private long unanswered;

    public Ballots(Loop loop, Rules rules, News statusParser, InetSocketAddress address,
            long responseTimeout) {
        this.loop = loop;
        this.rules = rules;
        this.statusParser = statusParser;
        this.address = address;
        this.responseTimeout = responseTimeout;
    }

    /** Votes go there from now on; one that is under way is still answered where it was cast. */
    public void move(InetSocketAddress address) {
        this.address = address;
    }

    /** A vote that the module has given up waiting for makes way for the next. */
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

    /** One vote on a connection of its own: the desk closes idle ones, and votes are rare. */
    private final class PendingVote implements Answers.Reader {

        private final Build build;
        private final Connection connection;
        private final Loop.Timer timeout;
        private final StringBuilder body = new StringBuilder();
        private int status;
        private boolean isClosed;

        PendingVote(Build build) {
            this.build = build;
            timeout = loop.at(loop.now() + responseTimeout, () -> endedUnanswered(true));
            connection = new Connection(loop, address, this, (end, isSent) -> endedUnanswered(isSent));
        }

        void close() {
            isClosed = true;
            timeout.callOff();
            connection.close();
        }

        /** The connection broke or nothing came: after the last byte it may still count. */
        private void endedUnanswered(boolean isSent) {
            unanswered++;
            reportFailure(isSent ? Pick.TIMEOUT : Pick.ERROR);
        }

        private void reportFailure(int outcome) {
            if (!isClosed) {
                close();
                loop.gather(() -> rules.told(build, 0, 0, 0, true, loop.now(), outcome));
            }
        }

        @Override
        public void head(int status) {
            this.status = status;
        }

        @Override
        public void data(ByteBuffer bytes) throws Malformed {
            if (body.length() + bytes.remaining() > MAX_RESPONSE_LENGTH) {
                throw new Malformed("an answer too long");
            }
            body.append(StandardCharsets.UTF_8.decode(bytes.duplicate()));
        }

        @Override
        public void end() {
            String text = body.toString();
            if (status == 200) {
                try {
                    Runnable statusUpdate = statusParser.parseVoteResponse(text);
                    if (!isClosed) {
                        close();
                        loop.gather(statusUpdate);
                    }
                } catch (Malformed e) {
                    endedUnanswered(true);
                }
            } else if (status == 400 || status == 500) {
                switch (News.element(text, "Code")) {
                    case "too_many_calls" -> reportFailure(Pick.FULL);
                    case "out_of_date" -> reportFailure(Pick.MOOT);
                    case "unavailable", "bad_request" -> reportFailure(Pick.ERROR);
                    // Guards against a spoilt answer, which says nothing of whether the vote counts.
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
