package honeygap.net.desk;

import honeygap.net.Loop;
import honeygap.net.http.Stream;
import honeygap.read.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Listens to what the desk tells without being asked; comes back by itself whenever that ends. */
public final class Bulletin {

    private final Loop loop;
    private final News news;
    private final InetSocketAddress address;
    private final long silentFor;
    private final long seed;
    private String event = "";
    private long failures;
    private long unreadable;

    /** So long without a sign of life is a failure; a new try comes within that time, at random. */
    public Bulletin(Loop loop, News news, InetSocketAddress address, long silentFor,
                    long seed) {
        this.loop = loop;
        this.news = news;
        this.address = address;
        this.silentFor = silentFor;
        this.seed = seed;
    }

    public void listen() {
        event = "";
        new Stream(loop, address, "/bulletin", silentFor, silentFor, this::line, whole -> {
            failures++;
            loop.at(loop.now() + (long) (chance() * silentFor / 4), this::listen);
        });
    }

    private double chance() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(failures).array());
        return crc.getValue() / 4294967296.0;
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

    @Override
    public String toString() {
        return String.format("bulletins ended %d, unreadable %d", failures, unreadable);
    }
}
