package honeygap.net.pg;

import honeygap.config.Malformed;
import java.nio.ByteBuffer;

/**
 * Validates the contents of messages from appliances. Guards against malformed messages with a correct outer length,
 * which would otherwise be forwarded or be mistaken for an error response.
 */
public final class MessageValidator {

    /** Bytes after a column's name: its table, column number, type, size, modifier and format. */
    private static final int COLUMN_DESCRIPTION_LENGTH = 18;

    private MessageValidator() {
    }

    /** Checks that the body of a message matches its type and length. */
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
            throw new Malformed("message contents do not match its length");
        }
    }

    /** Whether the body is a list of fields (letter and string) with a valid SQLSTATE and a final zero byte. */
    private static boolean isErrorResponse(ByteBuffer body) {
        int position = 0;
        while (position < body.limit() && body.get(position) != 0) {
            int end = stringEnd(body, position + 1);
            if (end < 0) {
                return false;
            }
            position = end;
        }
        return position == body.limit() - 1 && PgMessages.errorField(body, 'C').matches("[0-9A-Z]{5}");
    }

    /** The index after the zero byte that ends the string; negative if there is none. */
    private static int stringEnd(ByteBuffer body, int from) {
        for (int i = from; i < body.limit(); i++) {
            if (body.get(i) == 0) {
                return i + 1;
            }
        }
        return -COLUMN_DESCRIPTION_LENGTH - 1;
    }
}
