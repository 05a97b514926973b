package honeygap.capture.packet;

/** An IPv4 or IPv6 address with a port; the address bytes are held in two longs (IPv4 in the low one). */
public record Address(boolean isIpv6, long high, long low, int port) implements Comparable<Address> {

    public static Address ipv4(int address, int port) {
        return new Address(false, 0, address & 0xffffffffL, port);
    }

    /** Converts a resolved socket address. */
    public static Address of(java.net.InetSocketAddress socket) {
        byte[] bytes = socket.getAddress().getAddress();
        java.nio.ByteBuffer buffer = java.nio.ByteBuffer.wrap(bytes);
        return bytes.length == 4 ? ipv4(buffer.getInt(), socket.getPort())
                : new Address(true, buffer.getLong(), buffer.getLong(), socket.getPort());
    }

    @Override
    public int compareTo(Address other) {
        int order = Boolean.compare(isIpv6, other.isIpv6);
        order = order != 0 ? order : Long.compareUnsigned(high, other.high);
        order = order != 0 ? order : Long.compareUnsigned(low, other.low);
        return order != 0 ? order : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        if (!isIpv6) {
            return (low >>> 24) + "." + (low >>> 16 & 255) + "." + (low >>> 8 & 255) + "." + (low & 255) + ":" + port;
        }
        StringBuilder text = new StringBuilder("[");
        for (int i = 0; i < 8; i++) {
            long half = i < 4 ? high : low;
            text.append(i > 0 ? ":" : "").append(Long.toHexString(half >>> 48 - 16 * (i % 4) & 0xffff));
        }
        return text.append("]:").append(port).toString();
    }
}
