package honeygap.net;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** A minimal HTTP/1.1 implementation for the tests' peers, independent of the parsers under test. */
final class Http {

    private Http() {
    }

    /**
     * Reads a request or response with a content length, or without a body; returns the first line, the head and the
     * body.
     */
    static String[] read(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || head.lastIndexOf("\r\n\r\n") != head.length() - 4) {
            head.append((char) in.readUnsignedByte());
        }
        int at = head.indexOf("Content-Length: ");
        int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r", at)));
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        if (body.getBytes(StandardCharsets.UTF_8).length < length && !body.contains("\ufffd")) {
            throw new IOException("half a body");
        }
        return new String[] {head.substring(0, head.indexOf("\r\n")), head.toString(), body};
    }

    static byte[] answer(int status, String fields, String body) {
        return ("HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + fields + "\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    static String post(String path, String fields, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n" + fields + "\r\n" + body;
    }
}
