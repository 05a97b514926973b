package honeygap.capture.file;

/**
 * Parses the frame and block headers of a zstd stream (RFC 8878) to tell whether it ends at a frame boundary: the zstd
 * library reports no error for a stream that is truncated in a frame after the first.
 */
final class ZstdFrameTracker {

    private static final int MAGIC = 0xfd2fb528;
    private static final int SKIPPABLE_MAGIC = 0x184d2a50;

    private enum Field {
        MAGIC, DESCRIPTOR, HEADER_REST, BLOCK_HEADER, BLOCK_CONTENT, CHECKSUM, SKIPPABLE_SIZE, SKIPPABLE_CONTENT, UNKNOWN
    }

    private Field field = Field.MAGIC;
    /** Bytes of the current field still to come, and its little-endian value so far. */
    private long remaining = 4;
    private long value;
    private int shift;
    private boolean hasChecksum;
    private boolean isLastBlock;

    /** Whether the stream so far ends between frames; also true for data that is not zstd. */
    boolean isAtFrameBoundary() {
        return field == Field.UNKNOWN || field == Field.MAGIC && remaining == 4;
    }

    void feed(byte[] bytes, int from, int length) {
        int at = from;
        int end = from + length;
        while (at < end && field != Field.UNKNOWN) {
            if (field == Field.BLOCK_CONTENT || field == Field.SKIPPABLE_CONTENT || field == Field.HEADER_REST
                    || field == Field.CHECKSUM) {
                long step = Math.min(remaining, end - at);
                at += (int) step;
                remaining -= step;
            } else {
                value |= (bytes[at++] & 0xffL) << shift;
                shift += 8;
                remaining--;
            }
            while (remaining == 0 && field != Field.UNKNOWN) {
                finishField();
            }
        }
    }

    private void start(Field field, long remaining) {
        this.field = field;
        this.remaining = remaining;
        value = 0;
        shift = 0;
    }

    private void finishField() {
        long read = value;
        switch (field) {
            case MAGIC:
                if ((int) read == MAGIC) {
                    start(Field.DESCRIPTOR, 1);
                } else {
                    start(((int) read & ~15) == SKIPPABLE_MAGIC ? Field.SKIPPABLE_SIZE : Field.UNKNOWN, 4);
                }
                break;
            case DESCRIPTOR:
                boolean isSingleSegment = (read & 32) != 0;
                hasChecksum = (read & 4) != 0;
                int contentSizeBytes = new int[] {isSingleSegment ? 1 : 0, 2, 4, 8}[(int) read >> 6];
                int dictionaryIdBytes = new int[] {0, 1, 2, 4}[(int) read & 3];
                start(Field.HEADER_REST, (isSingleSegment ? 0 : 1) + dictionaryIdBytes + contentSizeBytes);
                break;
            case HEADER_REST:
                start(Field.BLOCK_HEADER, 3);
                break;
            case BLOCK_HEADER:
                isLastBlock = (read & 1) != 0;
                boolean isRunLength = (read >> 1 & 3) == 1;
                start(Field.BLOCK_CONTENT, isRunLength ? 1 : read >> 3);
                break;
            case BLOCK_CONTENT:
                if (!isLastBlock) {
                    start(Field.BLOCK_HEADER, 3);
                } else {
                    start(hasChecksum ? Field.CHECKSUM : Field.MAGIC, 4);
                }
                break;
            case SKIPPABLE_SIZE:
                start(Field.SKIPPABLE_CONTENT, read);
                break;
            default:
                start(Field.MAGIC, 4);
        }
    }
}
