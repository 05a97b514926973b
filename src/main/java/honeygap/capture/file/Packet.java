package honeygap.capture.file;

/** One packet as it lies in a file; a reader fills the same one again and again. */
public final class Packet {

    /** Nanoseconds since 1970. */
    public long at;
    /** Link type, by the public registry. */
    public int link;
    /** What was captured; the bytes behind {@link #length} are of an earlier packet. */
    public byte[] data = new byte[2048];
    public int length;
    /** How long it was on the wire. */
    public int originalLength;
    /** Counted from 1. */
    public long number;
    /** Where its record begins in the file, after decompression. */
    public long fileOffset;
}
