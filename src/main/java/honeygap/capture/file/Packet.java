package honeygap.capture.file;

/** A captured packet; mutable, so that a reader can reuse one instance for all packets. */
public final class Packet {

    /** Capture time in nanoseconds since the Unix epoch. */
    public long timestampNs;
    /** Link type, from the public LINKTYPE registry. */
    public int linkType;
    /** Captured bytes; those from {@link #length} on are left over from earlier packets. */
    public byte[] data = new byte[2048];
    public int length;
    /** Length on the wire. */
    public int originalLength;
    /** Number within the file, from 1. */
    public long number;
    /** Offset of its record in the decompressed file. */
    public long fileOffset;
}
