package honeygap.capture.recorder;

import honeygap.capture.file.CaptureWriter;
import honeygap.capture.file.Packet;
import honeygap.capture.file.PacketSynthesizer;
import honeygap.capture.packet.Address;
import honeygap.capture.redact.DataMasker;
import honeygap.capture.redact.StreamRedactor;
import honeygap.net.Counters;
import honeygap.net.TrafficListener;
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
 * Records the traffic of an agent in capture files. The agent's event loop only copies bytes into a ring buffer and
 * never waits; data that does not fit is dropped, counted, and shows as a hole in the recording. A separate thread
 * turns the bytes into packets, compresses and writes them. A full or failing disk ends the recording, not the agent.
 */
public final class Recorder implements TrafficListener, Counters.Group, AutoCloseable {

    private static final int OPENED = 1, ACCEPTED = 2, RECEIVED = 3, SENT = 4, CLOSED = 5;
    private static final long IDLE_PARK_NS = 2_000_000;
    private static final long CLOSE_TIMEOUT_MS = 5_000;
    /** The interval of flushes, after which written data can be read even if the process is killed. */
    private static final long FLUSH_INTERVAL_NS = 500_000_000L;

    /** State of a connection on the writer thread. */
    private static final class RecordedConnection {
        boolean isAccepted;
        /** Stream offsets reached so far in each direction. */
        long received;
        long sent;
        StreamRedactor sentRedactor;
        StreamRedactor receivedRedactor;
        Address local;
        Address remote;
    }

    /** Stream offsets of a connection on the event loop, including dropped bytes. */
    private static final class StreamOffsets {
        long received;
        long sent;
    }

    private final Path folder;
    private final String name;
    private final long maxFileBytes;
    private final long maxFileAgeNs;
    private final int maxFiles;
    private final DataMasker mask;
    private final RecordRingBuffer ring;
    private final long startNanos = System.nanoTime();
    private final long startMillis = System.currentTimeMillis();
    private final Map<Long, StreamOffsets> offsets = new HashMap<>();
    private final Map<Long, RecordedConnection> connections = new HashMap<>();
    private final ArrayDeque<Path> files = new ArrayDeque<>();
    private final ByteBuffer offsetPrefix = ByteBuffer.allocate(8);
    private final Thread thread;
    private final AtomicLong records = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private final AtomicLong droppedRecords = new AtomicLong();
    private final AtomicLong droppedBytes = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private final AtomicLong packets = new AtomicLong();
    private volatile boolean isClosing;
    private volatile boolean hasFailed;
    private CaptureWriter writer;
    private PacketSynthesizer synthesizer;
    private long fileStartedNs;
    private long lastFlushNs;
    private long lastTimestampNs;
    private int nextFileNumber;

    /**
     * File names in the folder begin with the name. A new file is started after the given number of bytes (before
     * compression) or nanoseconds, and the oldest is deleted if there are too many. The mask hides keys and values; it
     * may be null.
     */
    public Recorder(Path folder, String name, long maxFileBytes, long maxFileAgeNs, int maxFiles, int ringBytes,
            DataMasker mask) throws IOException {
        this.folder = folder;
        this.name = name;
        this.maxFileBytes = maxFileBytes;
        this.maxFileAgeNs = maxFileAgeNs;
        this.maxFiles = Math.max(1, maxFiles);
        this.mask = mask;
        ring = new RecordRingBuffer(ringBytes);
        Files.createDirectories(folder);
        synthesizer = new PacketSynthesizer(this::write);
        startFile();
        thread = new Thread(this::run, "recorder");
        thread.setDaemon(true);
        thread.start();
    }

    private long nowNs() {
        return startMillis * 1_000_000 + (System.nanoTime() - startNanos);
    }

    private void offer(int kind, long connection, ByteBuffer... parts) {
        if (!hasFailed && !ring.offer(kind, connection, nowNs(), parts)) {
            droppedRecords.incrementAndGet();
            for (ByteBuffer part : parts) {
                droppedBytes.addAndGet(part.remaining());
            }
        }
    }

    @Override
    public void opened(long connection, SocketAddress local, SocketAddress remote, boolean isAccepted) {
        offsets.put(connection, new StreamOffsets());
        byte[] addresses = (local + "\n" + remote).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        offer(isAccepted ? ACCEPTED : OPENED, connection, ByteBuffer.wrap(addresses));
    }

    /** Prefixes the bytes with their stream offset, so that the writer thread notices dropped data. */
    @Override
    public void received(long connection, ByteBuffer data) {
        StreamOffsets streamOffsets = offsets.get(connection);
        if (streamOffsets != null) {
            offsetPrefix.putLong(0, streamOffsets.received);
            streamOffsets.received += data.remaining();
            offer(RECEIVED, connection, offsetPrefix, data);
        }
    }

    @Override
    public void sent(long connection, ByteBuffer[] slices, int count) {
        StreamOffsets streamOffsets = offsets.get(connection);
        if (streamOffsets != null) {
            offsetPrefix.putLong(0, streamOffsets.sent);
            ByteBuffer[] parts = new ByteBuffer[count + 1];
            parts[0] = offsetPrefix;
            for (int i = 0; i < count; i++) {
                parts[i + 1] = slices[i];
                streamOffsets.sent += slices[i].remaining();
            }
            offer(SENT, connection, parts);
        }
    }

    @Override
    public void closed(long connection) {
        if (offsets.remove(connection) != null) {
            offer(CLOSED, connection);
        }
    }

    private void run() {
        try {
            while (true) {
                boolean isLastPass = isClosing;
                int count = ring.drain(this::record);
                long now = System.nanoTime();
                if (now - lastFlushNs > FLUSH_INTERVAL_NS) {
                    lastFlushNs = now;
                    writer.flush();
                    if (writer.bytesWritten() > maxFileBytes || now - fileStartedNs > maxFileAgeNs) {
                        writer.close();
                        startFile();
                    }
                }
                if (isLastPass && count == 0) {
                    break;
                }
                if (count == 0) {
                    LockSupport.parkNanos(IDLE_PARK_NS);
                }
            }
            writer.close();
        } catch (IOException | RuntimeException | Error e) {
            fail(e);
        }
    }

    private void fail(Throwable e) {
        hasFailed = true;
        failures.incrementAndGet();
        Logger.warn("recording stopped after an error: {}", String.valueOf(e.getMessage()));
        try {
            writer.close();
        } catch (IOException closeFailure) {
            Logger.debug(closeFailure, "closing the capture file failed too");
        }
    }

    private void startFile() throws IOException {
        Path file;
        do {
            file = folder.resolve(String.format("%s-%06d.pcapng.zst", name, nextFileNumber++));
        } while (Files.exists(file));
        writer = new CaptureWriter(file);
        writer.writeFileHeader(PacketSynthesizer.LINK_TYPE_RAW);
        files.add(file);
        fileStartedNs = lastFlushNs = System.nanoTime();
        while (files.size() > maxFiles) {
            Files.deleteIfExists(files.poll());
        }
    }

    private void write(Packet packet) throws IOException {
        writer.write(packet);
        packets.incrementAndGet();
    }

    private void record(int kind, long connection, long timestampNs, ByteBuffer content) {
        records.incrementAndGet();
        // Timestamps never go back: a record that reached the ring late gets the time of the last one.
        lastTimestampNs = Math.max(lastTimestampNs, timestampNs);
        try {
            switch (kind) {
                case OPENED, ACCEPTED -> open(kind == ACCEPTED, connection, content);
                case RECEIVED, SENT -> writeData(kind == RECEIVED, connection, content);
                default -> close(connection);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void open(boolean isAccepted, long connection, ByteBuffer content) throws IOException {
        byte[] addresses = new byte[content.remaining()];
        content.get(addresses);
        String[] endpoints = new String(addresses, java.nio.charset.StandardCharsets.US_ASCII).split("\n");
        RecordedConnection recorded = new RecordedConnection();
        recorded.isAccepted = isAccepted;
        recorded.local = address(endpoints[0]);
        recorded.remote = address(endpoints[1]);
        if (mask != null) {
            recorded.sentRedactor = new StreamRedactor(mask, !isAccepted, true);
            recorded.receivedRedactor = new StreamRedactor(mask, isAccepted, true);
        }
        connections.put(connection, recorded);
        synthesizer.opened(connection, isAccepted ? recorded.remote : recorded.local,
                isAccepted ? recorded.local : recorded.remote, true, lastTimestampNs);
    }

    private static Address address(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(text.indexOf('/') + 1, colon).replaceAll("[\\[\\]]|%.*", "");
        return Address.of(new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1))));
    }

    private void writeData(boolean isReceived, long connection, ByteBuffer content) throws IOException {
        RecordedConnection recorded = connections.get(connection);
        if (recorded == null) {
            return;
        }
        long offset = content.getLong();
        byte[] data = new byte[content.remaining()];
        content.get(data);
        bytes.addAndGet(data.length);
        boolean isClient = isReceived == recorded.isAccepted;
        StreamRedactor redactor = isReceived ? recorded.receivedRedactor : recorded.sentRedactor;
        long expectedOffset = isReceived ? recorded.received : recorded.sent;
        if (offset > expectedOffset) {
            if (redactor != null) {
                byte[] masked = redactor.blankRemaining();
                synthesizer.data(connection, isClient, masked, 0, masked.length, lastTimestampNs);
            }
            synthesizer.skipBytes(connection, isClient, offset - expectedOffset);
        }
        if (isReceived) {
            recorded.received = offset + data.length;
        } else {
            recorded.sent = offset + data.length;
        }
        byte[] redacted = redactor == null ? data : redactor.redact(data);
        synthesizer.data(connection, isClient, redacted, 0, redacted.length, lastTimestampNs);
    }

    private void close(long connection) throws IOException {
        RecordedConnection recorded = connections.remove(connection);
        if (recorded == null) {
            return;
        }
        if (mask != null) {
            byte[] lastReceived = recorded.receivedRedactor.blankRemaining();
            synthesizer.data(connection, recorded.isAccepted, lastReceived, 0, lastReceived.length, lastTimestampNs);
            byte[] lastSent = recorded.sentRedactor.blankRemaining();
            synthesizer.data(connection, !recorded.isAccepted, lastSent, 0, lastSent.length, lastTimestampNs);
        }
        synthesizer.closed(connection, !recorded.isAccepted, false, lastTimestampNs);
    }

    @Override
    public void report(Counters counters) {
        counters.count("records", records.get());
        counters.count("bytes", bytes.get());
        counters.count("packets", packets.get());
        counters.count("left out", droppedRecords.get());
        counters.count("bytes left out", droppedBytes.get());
        counters.count("ended by a fault", failures.get());
    }

    /** Writes the remaining records in the ring buffer and closes the last file. */
    @Override
    public void close() {
        isClosing = true;
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
