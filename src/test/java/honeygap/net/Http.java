package honeygap.net;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** HTTP/1.1 as the tests' own peers speak it: plain, and apart from the parsers that are tested. */
final class Http {

    private Http() {
    }

    /** First line, head, body; of a request or an answer with a length, or one without a body. */
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
