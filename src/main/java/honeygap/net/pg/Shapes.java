package honeygap.net.pg;

import honeygap.read.Malformed;
import java.nio.ByteBuffer;

/**
 * Whether what is inside a message fits it. Guards against spoilt answers whose outer length is right: they
 * would otherwise be passed on, or be taken for an error that was never said.
 */
public final class Shapes {

    /** Table, column, type, size, modifier and form of a column, behind its name. */
    private static final int COLUMN = 18;

    private Shapes() {
    }

    public static void check(byte type, ByteBuffer body) throws Malformed {
        boolean fits;
        switch (type) {
            case 'T':
                fits = body.remaining() > 2 && body.getShort(0) == 1
                        && end(body, 2) + COLUMN == body.limit();
                break;
            case 'D':
                fits = body.remaining() >= 6 && body.getShort(0) == 1
                        && body.getInt(2) == body.remaining() - 6;
                break;
            case 'C':
                fits = body.remaining() > 1 && end(body, 0) == body.limit();
                break;
            case 'E':
                fits = fields(body);
                break;
            case 'Z':
                fits = body.remaining() == 1;
                break;
            case 'I':
                fits = !body.hasRemaining();
                break;
            default:
                fits = true;
        }
        if (!fits) {
            throw new Malformed("a message that does not fit its length");
        }
    }

    /** Fields of a letter and words each, and a zero byte that ends them all, with a code among them. */
    private static boolean fields(ByteBuffer body) {
        int at = 0;
        while (at < body.limit() && body.get(at) != 0) {
            int end = end(body, at + 1);
            if (end < 0) {
                return false;
            }
            at = end;
        }
        return at == body.limit() - 1 && Words.field(body, 'C').matches("[0-9A-Z]{5}");
    }

    /** Behind the zero byte that ends the words there; under zero where there is none. */
    private static int end(ByteBuffer body, int from) {
        for (int i = from; i < body.limit(); i++) {
            if (body.get(i) == 0) {
                return i + 1;
            }
        }
        return -COLUMN - 1;
    }
}
