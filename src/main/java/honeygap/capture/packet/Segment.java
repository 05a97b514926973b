package honeygap.capture.packet;

/** A TCP segment; mutable, so that a decoder can reuse one instance for all packets. */
public final class Segment {

    public static final int FIN = 1, SYN = 2, RST = 4, PSH = 8, ACK = 16;

    /** Capture time in nanoseconds since the Unix epoch. */
    public long timestampNs;
    public Address from;
    public Address to;
    /** Raw 32-bit sequence numbers. */
    public int seq;
    public int ack;
    public int flags;
    public byte[] data;
    /** Index in {@link #data} of the first payload byte. */
    public int dataOffset;
    /** Payload bytes captured, and payload bytes sent on the wire. */
    public int capturedLength;
    public int payloadLength;

    public boolean has(int flag) {
        return (flags & flag) != 0;
    }
}
