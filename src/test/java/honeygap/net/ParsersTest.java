package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import honeygap.net.http.Answers;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Statement;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ParsersTest {

    private static ByteBuffer bytes(String words) {
        return ByteBuffer.wrap(words.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** What a statement says, or that it is not one. */
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
    void statements(String text, String says) {
        Statement statement = new Statement();
        boolean read = statement.read(bytes(text + '\0'));
        assertEquals(says.strip(), !read ? "no" : String.join(" ", statement.id(), statement.method(),
                String.valueOf(statement.tenant()), statement.key(), "" + statement.timeMs(),
                "" + statement.hintMicros(), "" + statement.retry()));
    }

    /** Messages in pieces of any size come out the same; lengths out of bounds are turned down at once. */
    @ParameterizedTest
    @CsvSource({"1", "3", "5", "7", "100"})
    void frames(int size) throws Malformed {
        String all = "Q\0\0\0\7abcZ\0\0\0\4D\0\0\0\24" + "0123456789abcdef" + "Q\0\0\0\144";
        Frames frames = new Frames(99);
        StringBuilder seen = new StringBuilder();
        for (int i = 0; i < all.length() - 1; i += size) {
            frames.feed(bytes(all.substring(i, Math.min(all.length() - 1, i + size))));
            while (frames.next()) {
                seen.append((char) frames.type());
                seen.append(StandardCharsets.ISO_8859_1.decode(frames.body())).append(' ');
            }
        }
        assertEquals("Qabc Z D0123456789abcdef ", seen.toString());
        frames.feed(bytes("\144"));
        assertThrows(Malformed.class, frames::next);
    }

    /** Answers in pieces of any size; a bar where one ends, a question mark where it can't be read. */
    @ParameterizedTest
    @CsvSource(delimiter = '#', value = {
        "HTTP/1.1 200 OK~Content-Length: 3~~abcHTTP/1.1 500 x~Content-Length: 0~~# 200abc|500|",
        "HTTP/1.1 200 OK~transfer-encoding: Chunked~~3~abc~2;x=1~de~0~T: x~~"
            + "HTTP/1.1 204 x~content-length:0~~#200abcde|204|",
        "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~~rest# 200rest|",
        "HTTP/1.1 200 OK~Content-Length: x~~# ?", "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~# 200?",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~ab~# 200a?", "SSH-2.0~# ?",
        "HTTP/1.1 200 OK~Content-Length: -1~~# ?"})
    void answers(String text, String wanted) {
        String[] halves = text.split("~", -1);
        String whole = String.join("\r\n", halves);
        for (int size : new int[] {1, 2, 7, 1000}) {
            StringBuilder seen = new StringBuilder();
            Answers answers = new Answers(new Answers.Reader() {
                @Override
                public void head(int status) {
                    seen.append(status);
                }

                @Override
                public void data(ByteBuffer part) {
                    seen.append(StandardCharsets.ISO_8859_1.decode(part.duplicate()));
                }

                @Override
                public void end() {
                    seen.append('|');
                }
            });
            try {
                for (int i = 0; i < whole.length(); i += size) {
                    answers.feed(bytes(whole.substring(i, Math.min(whole.length(), i + size))));
                }
                answers.close();
            } catch (Malformed e) {
                seen.append('?');
            }
            assertEquals(wanted.strip(), seen.toString(), "in pieces of " + size);
        }
    }
}
