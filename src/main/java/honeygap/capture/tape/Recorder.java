package honeygap.capture.tape;

import honeygap.capture.file.CaptureWriter;
import honeygap.capture.file.Packet;
import honeygap.capture.file.Synthesis;
import honeygap.capture.packet.Address;
import honeygap.capture.redact.Mask;
import honeygap.capture.redact.Redactor;
import honeygap.net.Counters;
import honeygap.net.Tap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;

/**
 * Writes what an agent sends and receives into capture files. The agent's loop only copies bytes into a ring and goes
 * on; what does not fit there is left out, counted, and a hole in the record. A thread of its own makes packets of
 * them, compresses and writes. A disk that is full or fails ends the record, not the agent.
 */
public final class Recorder implements Tap, Counters.Group, AutoCloseable {

    private static final int OPENED = 1, COMER = 2, RECEIVED = 3, SENT = 4, CLOSED = 5;
    private static final long NAP = 2_000_000;
    private static final long LAST_WORDS_MS = 5_000;
    /** All written so far can be read again after a kill. */
    private static final long FLUSHED = 500_000_000L;

    /** One connection, as the writing thread knows it. */
    private static final class Line {
        boolean isComer;
        /** Bytes in place so far that came, and that went. */
        long came;
        long went;
        Redactor ours;
        Redactor theirs;
        Address here;
        Address there;
    }

    /** Where a connection stands for the loop: bytes that came and went, those left out as well. */
    private static final class Places {
        long came;
        long went;
    }

    private final Path folder;
    private final String name;
    private final long mostBytes;
    private final long mostAge;
    private final int mostFiles;
    private final Mask mask;
    private final Ring ring;
    private final long zeroNanos = System.nanoTime();
    private final long zeroMillis = System.currentTimeMillis();
    private final Map<Long, Places> places = new HashMap<>();
    private final Map<Long, Line> lines = new HashMap<>();
    private final ArrayDeque<Path> files = new ArrayDeque<>();
    private final ByteBuffer place = ByteBuffer.allocate(8);
    private final Thread thread;
    private final AtomicLong records = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong leftOut = new AtomicLong();
    private final AtomicLong bytesLeftOut = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private volatile boolean ends;
    private volatile boolean isDead;
    private CaptureWriter writer;
    private Synthesis synthesis;
    private long begunAt;
    private long flushedAt;
    private long lastAt;
    private int number;

    /**
     * Files of the folder begin with the name; a new one is begun after so many bytes before compression, or so many
     * nanoseconds, and the oldest goes when there are too many. A mask hides keys and values; it may be null.
     */
    public Recorder(Path folder, String name, long mostBytes, long mostAge, int mostFiles, int ringBytes, Mask mask)
            throws IOException {
        this.folder = folder;
        this.name = name;
        this.mostBytes = mostBytes;
        this.mostAge = mostAge;
        this.mostFiles = Math.max(1, mostFiles);
        this.mask = mask;
        ring = new Ring(ringBytes);
        Files.createDirectories(folder);
        synthesis = new Synthesis(this::write);
        begin();
        thread = new Thread(this::run, "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    private long now() {
        return zeroMillis * 1_000_000 + (System.nanoTime() - zeroNanos);
    }

    private void offer(int kind, long connection, ByteBuffer... parts) {
        if (!isDead && !ring.offer(kind, connection, now(), parts)) {
            leftOut.incrementAndGet();
            for (ByteBuffer part : parts) {
                bytesLeftOut.addAndGet(part.remaining());
            }
        }
    }

    @Override
    public void opened(long connection, SocketAddress here, SocketAddress there, boolean isComer) {
        places.put(connection, new Places());
        byte[] words = (here + "\n" + there).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        offer(isComer ? COMER : OPENED, connection, ByteBuffer.wrap(words));
    }

    /** Before the bytes stands how many came before them, so that what was left out shows as missing. */
    @Override
    public void received(long connection, ByteBuffer came) {
        Places all = places.get(connection);
        if (all != null) {
            place.putLong(0, all.came);
            all.came += came.remaining();
            offer(RECEIVED, connection, place, came);
        }
    }

    @Override
    public void sent(long connection, ByteBuffer[] slices, int count) {
        Places all = places.get(connection);
        if (all != null) {
            place.putLong(0, all.went);
            ByteBuffer[] parts = new ByteBuffer[count + 1];
            parts[0] = place;
            for (int i = 0; i < count; i++) {
                parts[i + 1] = slices[i];
                all.went += slices[i].remaining();
            }
            offer(SENT, connection, parts);
        }
    }

    @Override
    public void closed(long connection) {
        if (places.remove(connection) != null) {
            offer(CLOSED, connection);
        }
    }

    private void run() {
        try {
            while (true) {
                boolean last = ends;
                int many = ring.drain(this::record);
                long now = System.nanoTime();
                if (now - flushedAt > FLUSHED) {
                    flushedAt = now;
                    writer.flush();
                    if (writer.bytes() > mostBytes || now - begunAt > mostAge) {
                        writer.close();
                        begin();
                    }
                }
                if (last && many == 0) {
                    break;
                }
                if (many == 0) {
                    LockSupport.parkNanos(NAP);
                }
            }
            writer.close();
        } catch (IOException | RuntimeException e) {
            die(e);
        }
    }

    private void die(Exception e) {
        isDead = true;
        failed.incrementAndGet();
        Logger.warn("the recording has ended: {}", String.valueOf(e.getMessage()));
        try {
            writer.close();
        } catch (IOException again) {
            Logger.debug(again, "already closed");
        }
    }

    private void begin() throws IOException {
        Path file;
        do {
            file = folder.resolve(String.format("%s-%06d.pcapng.zst", name, number++));
        } while (Files.exists(file));
        writer = new CaptureWriter(file);
        writer.begin(Synthesis.RAW);
        files.add(file);
        begunAt = flushedAt = System.nanoTime();
        while (files.size() > mostFiles) {
            Files.deleteIfExists(files.poll());
        }
    }

    private void write(Packet packet) throws IOException {
        writer.write(packet);
        written.incrementAndGet();
    }

    private void record(int kind, long connection, long at, ByteBuffer content) {
        records.incrementAndGet();
        // The clock does not step back; a record that came late to the ring is no earlier than the last.
        lastAt = Math.max(lastAt, at);
        try {
            switch (kind) {
                case OPENED, COMER -> open(kind == COMER, connection, content);
                case RECEIVED, SENT -> said(kind == RECEIVED, connection, content);
                default -> close(connection);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void open(boolean isComer, long connection, ByteBuffer content) throws IOException {
        byte[] words = new byte[content.remaining()];
        content.get(words);
        String[] ends = new String(words, java.nio.charset.StandardCharsets.US_ASCII).split("\n");
        Line line = new Line();
        line.isComer = isComer;
        line.here = address(ends[0]);
        line.there = address(ends[1]);
        if (mask != null) {
            line.ours = new Redactor(mask, !isComer, true);
            line.theirs = new Redactor(mask, isComer, true);
        }
        lines.put(connection, line);
        synthesis.opened(connection, isComer ? line.there : line.here, isComer ? line.here : line.there, true, lastAt);
    }

    private static Address address(String words) {
        int colon = words.lastIndexOf(':');
        String figures = words.substring(words.indexOf('/') + 1, colon).replaceAll("[\\[\\]]|%.*", "");
        return Address.of(new InetSocketAddress(figures, Integer.parseInt(words.substring(colon + 1))));
    }

    private void said(boolean isReceived, long connection, ByteBuffer content) throws IOException {
        Line line = lines.get(connection);
        if (line == null) {
            return;
        }
        long from = content.getLong();
        byte[] data = new byte[content.remaining()];
        content.get(data);
        bytes.addAndGet(data.length);
        boolean isClient = isReceived == line.isComer;
        Redactor redactor = isReceived ? line.theirs : line.ours;
        long before = isReceived ? line.came : line.went;
        if (from > before) {
            if (redactor != null) {
                byte[] black = redactor.lose();
                synthesis.data(connection, isClient, black, 0, black.length, lastAt);
            }
            synthesis.hole(connection, isClient, from - before);
        }
        if (isReceived) {
            line.came = from + data.length;
        } else {
            line.went = from + data.length;
        }
        byte[] seen = redactor == null ? data : redactor.take(data);
        synthesis.data(connection, isClient, seen, 0, seen.length, lastAt);
    }

    private void close(long connection) throws IOException {
        Line line = lines.remove(connection);
        if (line == null) {
            return;
        }
        if (mask != null) {
            byte[] theirs = line.theirs.lose();
            synthesis.data(connection, line.isComer, theirs, 0, theirs.length, lastAt);
            byte[] ours = line.ours.lose();
            synthesis.data(connection, !line.isComer, ours, 0, ours.length, lastAt);
        }
        synthesis.closed(connection, !line.isComer, false, lastAt);
    }

    @Override
    public void report(Counters counters) {
        counters.count("records", records.get());
        counters.count("bytes", bytes.get());
        counters.count("packets", written.get());
        counters.count("left out", leftOut.get());
        counters.count("bytes left out", bytesLeftOut.get());
        counters.count("ended by a fault", failed.get());
    }

    /** Writes what is in the ring and ends the last file. */
    @Override
    public void close() {
        ends = true;
        try {
            thread.join(LAST_WORDS_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
