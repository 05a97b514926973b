package honeygap.net.appliances;

import honeygap.fleet.Pick;
import honeygap.net.Gathered;
import honeygap.net.links.Link;
import honeygap.net.links.Links;
import honeygap.net.links.Remote;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Query;
import honeygap.net.pg.Shapes;
import honeygap.net.pg.Words;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A connection to an appliance that speaks PostgreSQL's wire protocol. */
public final class Session extends Link {

    private static final int LONGEST = 65536 + 4096;

    /** The types of messages that may come: as it starts, for a pick or probe, behind its answer, at rest. */
    private static final String STARTING = "RSKNEZ";
    private static final String ASKED = "TDCEISNZ";
    private static final String ANSWERED = "SNZ";
    private static final String RESTING = "SNA";

    private String expected = STARTING;
    private final Frames frames = new Frames(LONGEST);
    /** Slices of the answer as it comes: description, row, completion. */
    private final List<ByteBuffer> answer = new ArrayList<>(3);
    private boolean rowSeen;

    public Session(Links all, Remote remote) {
        super(all, remote);
    }

    @Override
    protected void begin() {
        session.write(new Gathered(Words.startup()));
    }

    @Override
    protected void sendProbe() {
        expected = ASKED;
        session.write(new Gathered(Words.query("SELECT 1")));
    }

    @Override
    protected void send() {
        answer.clear();
        rowSeen = false;
        expected = ASKED;
        Query query = (Query) call;
        session.write(new Gathered(Words.query(query.before(), all.leftMs(upTo), query.after())));
    }

    @Override
    protected void read(ByteBuffer bytes) throws Malformed {
        frames.feed(bytes);
        while (!over && frames.next()) {
            message();
        }
    }

    @Override
    protected boolean isUnclear() {
        return true;
    }

    @Override
    protected boolean isHalfRead() {
        return frames.waiting() > 0;
    }

    @Override
    protected void rested() {
        expected = RESTING;
    }

    private void message() throws Malformed {
        if (expected.indexOf(frames.type()) < 0) {
            throw new Malformed("a message that nobody waits for");
        }
        Shapes.check(frames.type(), frames.body());
        switch (frames.type()) {
            case 'T':
                answer.add(frames.whole());
                break;
            case 'D':
                rowSeen = true;
                answer.add(frames.whole());
                break;
            case 'C':
                answer.add(frames.whole());
                if (!probing) {
                    answered();
                }
                break;
            case 'E':
                if (!probing || !ready) {
                    refused(Words.field(frames.body(), 'C'));
                }
                break;
            case 'Z':
                if (call == null || !ready) {
                    answer.clear();
                }
                idle();
                break;
            default:
                break;
        }
        if (answer.size() > 3) {
            throw new Malformed("more than one row");
        }
    }

    private void answered() throws Malformed {
        if (call == null || !handedOver || !rowSeen || answer.size() != 3) {
            throw new Malformed("no whole row");
        }
        expected = ANSWERED;
        ((Query) finish(Pick.OK)).answer(answer.toArray(new ByteBuffer[0]));
        answer.clear();
    }

    private void refused(String code) {
        int outcome = code.equals(Words.TOO_MANY) ? Pick.FULL
                : handedOver ? Pick.ERROR : Pick.CONNECT_FAILED;
        if (call == null || !ready) {
            end(outcome);
        } else {
            expected = ANSWERED;
            finish(outcome);
        }
    }
}
