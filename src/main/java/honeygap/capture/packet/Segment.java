package honeygap.capture.packet;

/** What one packet says of a TCP connection; a decoder fills the same one again and again. */
public final class Segment {

    public static final int FIN = 1, SYN = 2, RST = 4, PSH = 8, ACK = 16;

    public long at;
    public Address from;
    public Address to;
    /** Sequence numbers as they came, 32 bits. */
    public int seq;
    public int ack;
    public int flags;
    public byte[] data;
    public int start;
    /** Bytes of data that were captured, and that were sent. */
    public int length;
    public int sent;

    public boolean has(int flag) {
        return (flags & flag) != 0;
    }
}
