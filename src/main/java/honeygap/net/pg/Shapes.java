package honeygap.net.pg;

import honeygap.read.Malformed;
import java.nio.ByteBuffer;

/**
 * Whether what is inside a message fits it. Guards against spoilt answers whose outer length is right: they
 * would otherwise be passed on, or be taken for an error that was never said.
 */
public final class Shapes {

    /** Table, column, type, size, modifier and form of a column, behind its name. */
    private static final int COLUMN_DESCRIPTION_LENGTH = 18;

    private Shapes() {
    }

    public static void check(byte type, ByteBuffer body) throws Malformed {
        boolean isValid;
        switch (type) {
            case 'T':
                isValid = body.remaining() > 2 && body.getShort(0) == 1
                        && stringEnd(body, 2) + COLUMN_DESCRIPTION_LENGTH == body.limit();
                break;
            case 'D':
                isValid = body.remaining() >= 6 && body.getShort(0) == 1
                        && body.getInt(2) == body.remaining() - 6;
                break;
            case 'C':
                isValid = body.remaining() > 1 && stringEnd(body, 0) == body.limit();
                break;
            case 'E':
                isValid = isErrorResponse(body);
                break;
            case 'Z':
                isValid = body.remaining() == 1;
                break;
            case 'I':
                isValid = !body.hasRemaining();
                break;
            default:
                isValid = true;
        }
        if (!isValid) {
            throw new Malformed("a message that does not fit its length");
        }
    }

    /** Fields of a letter and words each, and a zero byte that ends them all, with a code among them. */
    private static boolean isErrorResponse(ByteBuffer body) {
        int position = 0;
        while (position < body.limit() && body.get(position) != 0) {
            int end = stringEnd(body, position + 1);
            if (end < 0) {
                return false;
            }
            position = end;
        }
        return position == body.limit() - 1 && Words.field(body, 'C').matches("[0-9A-Z]{5}");
    }

    /** Behind the zero byte that ends the words there; under zero where there is none. */
    private static int stringEnd(ByteBuffer body, int from) {
        for (int i = from; i < body.limit(); i++) {
            if (body.get(i) == 0) {
                return i + 1;
            }
        }
        return -COLUMN_DESCRIPTION_LENGTH - 1;
    }
}
