package honeygap.net.ofrep;

import honeygap.flags.FlagQuery;
import honeygap.fleet.Method;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** A question in the form sent to servers: its identity is the whole request without the value of the Host field. */
public final class OfrepRequest extends FlagQuery {

    private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final int headLength;

    private OfrepRequest(Method method, String flag, long targetingKeyHash, byte[] request, int headLength,
            boolean shareable) {
        super(method, flag, targetingKeyHash, request, hash(request), shareable);
        this.headLength = headLength;
    }

    /** Creates a request; the fields are the header fields to forward, each ending with a line break. */
    public static OfrepRequest of(Method method, String flag, long targetingKeyHash, String path, String fields,
            byte[] body, boolean shareable) {
        byte[] head = ("POST " + path + " HTTP/1.1\r\n" + fields + "Content-Type: application/json\r\n"
                + "Accept: application/json\r\nContent-Length: " + body.length + "\r\nHost: ")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] request = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, request, head.length, body.length);
        return new OfrepRequest(method, flag, targetingKeyHash, request, head.length, shareable);
    }

    /** A 64-bit hash of bytes, never 0. */
    public static long hash(byte[] bytes) {
        long hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
        return hash == 0 ? 1 : hash;
    }

    /** The request with this value of the Host field, in slices. */
    public ByteBuffer[] withHost(byte[] host) {
        return new ByteBuffer[] {ByteBuffer.wrap(identity, 0, headLength), ByteBuffer.wrap(host),
            ByteBuffer.wrap(HEAD_END), ByteBuffer.wrap(identity, headLength, identity.length - headLength).slice()};
    }
}
