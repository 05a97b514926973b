package honeygap.net.desk;

import honeygap.net.Loop;
import honeygap.net.http.Answers;
import honeygap.net.http.Connection;
import honeygap.net.http.Lines;
import honeygap.read.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

/** Listens to what the desk tells without being asked; comes back by itself whenever that ends. */
public final class Bulletin {

    private final Loop loop;
    private final News news;
    private final InetSocketAddress address;
    private final String host;
    private final long silentFor;
    private final DoubleSupplier chance;
    private long failures;
    private long unreadable;

    /** So long without a sign of life is a failure; a new try comes within that time, at random. */
    public Bulletin(Loop loop, News news, InetSocketAddress address, String host, long silentFor,
                    DoubleSupplier chance) {
        this.loop = loop;
        this.news = news;
        this.address = address;
        this.host = host;
        this.silentFor = silentFor;
        this.chance = chance;
    }

    public void listen() {
        new Reading();
    }

    private final class Reading implements Answers.Reader {

        private final Connection connection;
        private final Lines lines = new Lines(this::line);
        private Loop.Timer silence;
        private boolean over;
        private String event = "";

        Reading() {
            silence = loop.at(loop.now() + silentFor, this::fail);
            connection = new Connection(loop, address, this, handedOver -> fail());
            connection.get(host, "/bulletin");
        }

        private void fail() {
            if (!over) {
                over = true;
                failures++;
                silence.callOff();
                connection.close();
                loop.at(loop.now() + (long) (chance.getAsDouble() * silentFor / 4), Bulletin.this::listen);
            }
        }

        @Override
        public void head(int status) {
            if (status != 200) {
                fail();
            }
        }

        @Override
        public void data(ByteBuffer bytes) throws Malformed {
            if (!over) {
                silence.callOff();
                silence = loop.at(loop.now() + silentFor, this::fail);
                lines.feed(bytes);
            }
        }

        @Override
        public void end() {
            fail();
        }

        private void line(byte[] bytes, int length) {
            String words = new String(bytes, 0, length, StandardCharsets.UTF_8);
            if (words.isEmpty()) {
                event = "";
            } else if (words.startsWith("event:")) {
                event = words.substring(6).strip();
            } else if (words.startsWith("data:")) {
                told(words.substring(5).strip());
            }
        }

        private void told(String form) {
            try {
                if (event.equals("progress")) {
                    loop.gather(news.progress(form));
                } else if (event.equals("metrics")) {
                    loop.gather(news.metrics(form));
                }
            } catch (Malformed e) {
                unreadable++;
            }
        }
    }

    @Override
    public String toString() {
        return String.format("bulletins ended %d, unreadable %d", failures, unreadable);
    }
}
