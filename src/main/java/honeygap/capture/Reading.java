package honeygap.capture;

import honeygap.capture.file.CaptureReader;
import honeygap.capture.file.Packet;
import honeygap.capture.message.Conversation;
import honeygap.capture.message.Conversations;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import honeygap.capture.stream.Reassembly;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

/** Reads captures from file to RPC: one file, or several whose packets are taken in the order of their times. */
public final class Reading implements Closeable {

    /** Hears each packet, in order. */
    public interface Hearer {

        void packet(Packet packet) throws IOException;
    }

    /** A file and the packet of it that is next. */
    private static final class Open implements Comparable<Open> {
        final CaptureReader reader;
        final int number;
        final Packet packet = new Packet();

        Open(CaptureReader reader, int number) {
            this.reader = reader;
            this.number = number;
        }

        @Override
        public int compareTo(Open other) {
            int order = Long.compare(packet.at, other.packet.at);
            return order != 0 ? order : Integer.compare(number, other.number);
        }
    }

    private final List<Open> files = new ArrayList<>();
    private final PriorityQueue<Open> next = new PriorityQueue<>();
    private Open last;
    private long packets;
    private long bytes;
    private long firstAt = Long.MAX_VALUE;
    private long lastAt = Long.MIN_VALUE;

    public Reading(List<Path> paths) throws IOException {
        try {
            for (Path path : paths) {
                files.add(new Open(new CaptureReader(path), files.size()));
            }
        } catch (IOException e) {
            close();
            throw e;
        }
        for (Open file : files) {
            add(file);
        }
    }

    private void add(Open file) throws IOException {
        if (file.reader.next(file.packet)) {
            next.add(file);
        }
    }

    /** The next packet, good until the next call; null at the end. */
    public Packet next() throws IOException {
        if (last != null) {
            add(last);
        }
        last = next.poll();
        if (last == null) {
            return null;
        }
        packets++;
        bytes += last.packet.length;
        firstAt = Math.min(firstAt, last.packet.at);
        lastAt = Math.max(lastAt, last.packet.at);
        return last.packet;
    }

    /** Reads all that is left as conversations. What was out of the ordinary on the way, by kind. */
    public Map<String, Long> conversations(Conversation.Hearer hearer, Hearer each) throws IOException {
        Conversations conversations = new Conversations(hearer);
        Map<String, Long> counts = streams(conversations, each);
        counts.putAll(conversations.counts());
        counts.put("connections", conversations.connections());
        counts.put("RPCs", conversations.heard());
        return counts;
    }

    /** Reads all that is left as streams. */
    public Map<String, Long> streams(Reassembly.Out out, Hearer each) throws IOException {
        Decoder decoder = new Decoder();
        Reassembly reassembly = new Reassembly();
        Segment segment = new Segment();
        for (Packet packet = next(); packet != null; packet = next()) {
            each.packet(packet);
            if (decoder.read(packet, segment)) {
                reassembly.take(segment);
                drain(reassembly, out);
            }
        }
        reassembly.end();
        drain(reassembly, out);
        Map<String, Long> counts = new TreeMap<>(reassembly.counts());
        decoder.passed().forEach((kind, many) -> counts.put("packets: " + kind, many));
        return counts;
    }

    private static void drain(Reassembly reassembly, Reassembly.Out out) {
        while (reassembly.next(out)) {
            continue;
        }
    }

    /** What was cut off at the ends of files, a line each. */
    public List<String> cutOff() {
        List<String> lines = new ArrayList<>();
        for (Open file : files) {
            if (file.reader.cutOff() != null) {
                lines.add(file.reader.cutOff());
            }
        }
        return lines;
    }

    public long packets() {
        return packets;
    }

    /** Bytes of packets. */
    public long bytes() {
        return bytes;
    }

    /** Nanoseconds since 1970. */
    public long firstAt() {
        return firstAt;
    }

    public long lastAt() {
        return lastAt;
    }

    @Override
    public void close() throws IOException {
        for (Open file : files) {
            file.reader.close();
        }
    }
}
