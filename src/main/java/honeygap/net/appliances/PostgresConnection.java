package honeygap.net.appliances;

import honeygap.fleet.Pick;
import honeygap.net.GatheringBuffer;
import honeygap.net.upstream.UpstreamConnection;
import honeygap.net.upstream.ConnectionPool;
import honeygap.net.upstream.RemoteAppliance;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.Query;
import honeygap.net.pg.MessageValidator;
import honeygap.net.pg.PgMessages;
import honeygap.config.Malformed;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A connection to an appliance over PostgreSQL's wire protocol. */
public final class PostgresConnection extends UpstreamConnection {

    private static final int MAX_MESSAGE_BYTES = 65536 + 4096;

    /**
     * The message types allowed in each state: during startup, for a request or probe, after its answer, and while
     * idle.
     */
    private static final String STARTUP_TYPES = "RSKNEZ";
    private static final String REQUEST_TYPES = "TDCEISNZ";
    private static final String ANSWERED_TYPES = "SNZ";
    private static final String IDLE_TYPES = "SNA";

    private String expectedTypes = STARTUP_TYPES;
    private final FrameDecoder frames = new FrameDecoder(MAX_MESSAGE_BYTES);
    /** The messages of the answer: row description, data row, command completion. */
    private final List<ByteBuffer> answerSlices = new ArrayList<>(3);
    private boolean rowSeen;

    public PostgresConnection(ConnectionPool pool, RemoteAppliance appliance) {
        super(pool, appliance);
    }

    @Override
    protected void startProtocol() {
        session.write(new GatheringBuffer(PgMessages.startupMessage()));
    }

    @Override
    protected void sendProbe() {
        expectedTypes = REQUEST_TYPES;
        session.write(new GatheringBuffer(PgMessages.query("SELECT 1")));
    }

    @Override
    protected void sendRequest() {
        answerSlices.clear();
        rowSeen = false;
        expectedTypes = REQUEST_TYPES;
        Query query = (Query) call;
        session.write(new GatheringBuffer(PgMessages.query(
                query.textBeforeTimeout(), pool.millisLeft(timeoutAt), query.textAfterTimeout())));
    }

    @Override
    protected void handleInput(ByteBuffer bytes) throws Malformed {
        frames.feed(bytes);
        while (!isClosed && frames.next()) {
            handleMessage();
        }
        frames.endInput();
    }

    @Override
    protected boolean hasPartialMessage() {
        return frames.bufferedBytes() > 0;
    }

    @Override
    protected long heldInputBytes() {
        return frames.heldBytes() + GatheringBuffer.backingBytes(answerSlices.toArray(new ByteBuffer[0]));
    }

    @Override
    protected void onIdle() {
        expectedTypes = IDLE_TYPES;
    }

    private void handleMessage() throws Malformed {
        if (expectedTypes.indexOf(frames.type()) < 0) {
            throw new Malformed("unexpected message type");
        }
        MessageValidator.check(frames.type(), frames.body());
        switch (frames.type()) {
            case 'T':
                answerSlices.add(frames.message());
                break;
            case 'D':
                rowSeen = true;
                answerSlices.add(frames.message());
                break;
            case 'C':
                answerSlices.add(frames.message());
                if (!isProbing) {
                    handleAnswer();
                }
                break;
            case 'E':
                if (!isProbing || !isReady) {
                    handleError(PgMessages.errorField(frames.body(), 'C'));
                }
                break;
            case 'Z':
                if (call == null || !isReady) {
                    answerSlices.clear();
                }
                becomeIdle();
                break;
            default:
                break;
        }
        if (answerSlices.size() > 3) {
            throw new Malformed("answer has more than one row");
        }
    }

    private void handleAnswer() throws Malformed {
        if (call == null || !isFullyWritten || !rowSeen || answerSlices.size() != 3) {
            throw new Malformed("answer has no complete row");
        }
        expectedTypes = ANSWERED_TYPES;
        ((Query) finishPick(Pick.OK)).answer(answerSlices.toArray(new ByteBuffer[0]));
        answerSlices.clear();
    }

    private void handleError(String sqlState) {
        int outcome = sqlState.equals(PgMessages.TOO_MANY_CONNECTIONS) ? Pick.PUSHED_BACK
                : isFullyWritten ? Pick.ERROR : Pick.CONNECT_FAILED;
        if (call == null || !isReady) {
            close(outcome);
        } else {
            expectedTypes = ANSWERED_TYPES;
            finishPick(outcome);
        }
    }
}
