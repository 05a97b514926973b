package honeygap.capture.file;

/**
 * Follows the frames of a zstd stream (RFC 8878) by their heads, to tell whether it ends where a frame does: the
 * library takes one that breaks off in a later frame for whole.
 */
final class Frames {

    private static final int MAGIC = 0xfd2fb528;
    private static final int SKIPPABLE = 0x184d2a50;

    private enum Part { MAGIC, DESCRIPTOR, HEAD, BLOCK, CONTENT, CHECKSUM, SIZE, SKIPPED, UNKNOWN }

    private Part part = Part.MAGIC;
    /** Bytes of this part still to come, and its value as far as it has. */
    private long left = 4;
    private long value;
    private int shift;
    private boolean hasChecksum;
    private boolean isLast;

    /** Whether nothing of a frame has begun. */
    boolean isBetween() {
        return part == Part.UNKNOWN || part == Part.MAGIC && left == 4;
    }

    void feed(byte[] bytes, int from, int length) {
        int at = from;
        int end = from + length;
        while (at < end && part != Part.UNKNOWN) {
            if (part == Part.CONTENT || part == Part.SKIPPED || part == Part.HEAD || part == Part.CHECKSUM) {
                long step = Math.min(left, end - at);
                at += (int) step;
                left -= step;
            } else {
                value |= (bytes[at++] & 0xffL) << shift;
                shift += 8;
                left--;
            }
            while (left == 0 && part != Part.UNKNOWN) {
                next();
            }
        }
    }

    private void go(Part part, long left) {
        this.part = part;
        this.left = left;
        value = 0;
        shift = 0;
    }

    private void next() {
        long read = value;
        switch (part) {
            case MAGIC:
                if ((int) read == MAGIC) {
                    go(Part.DESCRIPTOR, 1);
                } else {
                    go(((int) read & ~15) == SKIPPABLE ? Part.SIZE : Part.UNKNOWN, 4);
                }
                break;
            case DESCRIPTOR:
                boolean isSingle = (read & 32) != 0;
                hasChecksum = (read & 4) != 0;
                int size = new int[] {isSingle ? 1 : 0, 2, 4, 8}[(int) read >> 6];
                int dictionary = new int[] {0, 1, 2, 4}[(int) read & 3];
                go(Part.HEAD, (isSingle ? 0 : 1) + dictionary + size);
                break;
            case HEAD:
                go(Part.BLOCK, 3);
                break;
            case BLOCK:
                isLast = (read & 1) != 0;
                boolean isRepeated = (read >> 1 & 3) == 1;
                go(Part.CONTENT, isRepeated ? 1 : read >> 3);
                break;
            case CONTENT:
                if (!isLast) {
                    go(Part.BLOCK, 3);
                } else {
                    go(hasChecksum ? Part.CHECKSUM : Part.MAGIC, 4);
                }
                break;
            case SIZE:
                go(Part.SKIPPED, read);
                break;
            default:
                go(Part.MAGIC, 4);
        }
    }
}
