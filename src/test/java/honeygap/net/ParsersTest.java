package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import honeygap.net.http.ResponseParser;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.Statement;
import honeygap.config.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the incremental parsers of PostgreSQL statements and messages and of HTTP responses. */
class ParsersTest {

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The parsed fields, or "no" for text that is not a statement. */
    @ParameterizedTest
    @CsvSource(delimiter = ';', value = {
        "SELECT content FROM kv WHERE name = 'ab' /* id=1,c=x,t=acme,d=480 */; 1 x acme ab 480 0 false",
        "SELECT content FROM kv WHERE name = 'ab' /*id=1, c=x,h=77, d=480.5,r=1*/ ; 1 x null ab 480 77 true",
        "INSERT INTO kv (name, content) VALUES ('k', '\\x9f/*') RETURNING content /* id=1,c=x,d=0,k=9 */;"
            + "1 x null k 0 0 false",
        "SELECT content FROM kv WHERE name = 'ab'; no", "SELECT content FROM kv WHERE name = 'ab' /* */; no",
        "SELECT content FROM kv WHERE name = 'ab' /* id=1,c=x,d=-5 */; no",
        "SELECT content FROM kv WHERE name = 'ab' /* id=1,c=x,d=5x */; no",
        "SELECT content FROM kv WHERE name = 'ab' /* id=1,c=x */; no",
        "SELECT content FROM kv WHERE name = 'ab' /* c=x,d=5 */; no",
        "SELECT content FROM kv WHERE name = 'ab' /* id=1,c=x,d=5; no",
        "SELECT content FROM kv WHERE name = 'ab /* id=1,c=x,d=5 */; no", "*/; no", "/*/; no",
        "DELETE FROM kv WHERE name = 'ab' /* id=1,c=x,d=5 */; no"})
    void parsesStatements(String text, String expected) {
        Statement statement = new Statement();
        boolean isStatement = statement.parse(bytes(text + '\0'));
        assertEquals(expected.strip(), !isStatement ? "no" : String.join(" ", statement.id(), statement.method(),
                String.valueOf(statement.tenant()), statement.key(), "" + statement.timeoutMs(),
                "" + statement.hintMicros(), "" + statement.retry()));
    }

    /** Messages are decoded the same from fragments of any size; an invalid length is rejected at once. */
    @ParameterizedTest
    @CsvSource({"1", "3", "5", "7", "100"})
    void decodesFragmentedMessages(int size) throws Malformed {
        String input = "Q\0\0\0\7abcZ\0\0\0\4D\0\0\0\24" + "0123456789abcdef" + "Q\0\0\0\144";
        FrameDecoder decoder = new FrameDecoder(99);
        StringBuilder decoded = new StringBuilder();
        for (int i = 0; i < input.length() - 1; i += size) {
            decoder.feed(bytes(input.substring(i, Math.min(input.length() - 1, i + size))));
            while (decoder.next()) {
                decoded.append((char) decoder.type());
                decoded.append(StandardCharsets.ISO_8859_1.decode(decoder.body())).append(' ');
            }
        }
        assertEquals("Qabc Z D0123456789abcdef ", decoded.toString());
        decoder.feed(bytes("\144"));
        assertThrows(Malformed.class, decoder::next);
    }

    /** Parses responses from fragments of any size; "|" marks the end of a response, "?" a malformed one. */
    @ParameterizedTest
    @CsvSource(delimiter = '#', value = {
        "HTTP/1.1 200 OK~Content-Length: 3~~abcHTTP/1.1 500 x~Content-Length: 0~~# 200abc|500|",
        "HTTP/1.1 200 OK~transfer-encoding: Chunked~~3~abc~2;x=1~de~0~T: x~~"
            + "HTTP/1.1 204 x~content-length:0~~#200abcde|204|",
        "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~~rest# 200rest|",
        "HTTP/1.1 200 OK~Content-Length: x~~# ?", "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~# 200?",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~ab~# 200a?", "SSH-2.0~# ?",
        "HTTP/1.1 200 OK~Content-Length: -1~~# ?"})
    void parsesFragmentedResponses(String text, String expected) {
        String[] lines = text.split("~", -1);
        String input = String.join("\r\n", lines);
        for (int size : new int[] {1, 2, 7, 1000}) {
            StringBuilder parsed = new StringBuilder();
            ResponseParser parser = new ResponseParser(new ResponseParser.Handler() {
                @Override
                public void onHeadComplete(int status) {
                    parsed.append(status);
                }

                @Override
                public void onData(ByteBuffer part) {
                    parsed.append(StandardCharsets.ISO_8859_1.decode(part.duplicate()));
                }

                @Override
                public void onComplete() {
                    parsed.append('|');
                }
            });
            try {
                for (int i = 0; i < input.length(); i += size) {
                    parser.feed(bytes(input.substring(i, Math.min(input.length(), i + size))));
                }
                parser.close();
            } catch (Malformed e) {
                parsed.append('?');
            }
            assertEquals(expected.strip(), parsed.toString(), "in fragments of " + size);
        }
    }
}
