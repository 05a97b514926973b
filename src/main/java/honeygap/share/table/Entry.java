package honeygap.share.table;

/**
 * One small fact that its owner tells all others.
 *
 * @param name what it is of, one of a kind for its owner and table
 * @param counter the owner's count of all that it has written in the table
 * @param ttl for how long it holds from its writing, in tenths of a millisecond
 * @param value text; null where the owner has taken it back
 */
public record Entry(String name, long sequence, long ttl, String value) {

    public boolean isTombstone() {
        return value == null;
    }

    /** What it counts for against a bound in bytes. */
    public int estimatedBytes() {
        return 48 + name.length() + (value == null ? 0 : value.length());
    }
}
