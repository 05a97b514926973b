package honeygap.capture;

import honeygap.capture.file.CaptureReader;
import honeygap.capture.file.Packet;
import honeygap.capture.message.ConnectionDecoder;
import honeygap.capture.message.CaptureDecoder;
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

/** Reads one or more capture files, merged by packet time, as packets, TCP streams or RPCs. */
public final class MergedCaptureReader implements Closeable {

    /** Receives each packet in order. */
    public interface PacketListener {

        void packet(Packet packet) throws IOException;
    }

    /** A file with its next packet; ordered by that packet's time. */
    private static final class OpenFile implements Comparable<OpenFile> {
        final CaptureReader reader;
        final int number;
        final Packet packet = new Packet();

        OpenFile(CaptureReader reader, int number) {
            this.reader = reader;
            this.number = number;
        }

        @Override
        public int compareTo(OpenFile other) {
            int order = Long.compare(packet.timestampNs, other.packet.timestampNs);
            return order != 0 ? order : Integer.compare(number, other.number);
        }
    }

    private final List<OpenFile> files = new ArrayList<>();
    private final PriorityQueue<OpenFile> queue = new PriorityQueue<>();
    private OpenFile current;
    private long packets;
    private long bytes;
    private long firstTimestampNs = Long.MAX_VALUE;
    private long lastTimestampNs = Long.MIN_VALUE;

    public MergedCaptureReader(List<Path> paths) throws IOException {
        try {
            for (Path path : paths) {
                files.add(new OpenFile(new CaptureReader(path), files.size()));
            }
        } catch (IOException e) {
            close();
            throw e;
        }
        for (OpenFile file : files) {
            enqueueNext(file);
        }
    }

    private void enqueueNext(OpenFile file) throws IOException {
        if (file.reader.next(file.packet)) {
            queue.add(file);
        }
    }

    /** The next packet, valid until the next call; null at the end. */
    public Packet next() throws IOException {
        if (current != null) {
            enqueueNext(current);
        }
        current = queue.poll();
        if (current == null) {
            return null;
        }
        packets++;
        bytes += current.packet.length;
        firstTimestampNs = Math.min(firstTimestampNs, current.packet.timestampNs);
        lastTimestampNs = Math.max(lastTimestampNs, current.packet.timestampNs);
        return current.packet;
    }

    /** Decodes all remaining packets into RPCs; returns counts of RPCs, connections and irregularities by kind. */
    public Map<String, Long> conversations(ConnectionDecoder.RpcListener listener, PacketListener packetListener) throws IOException {
        CaptureDecoder decoder = new CaptureDecoder(listener);
        Map<String, Long> counts = streams(decoder, packetListener);
        counts.putAll(decoder.problemCounts());
        counts.put("connections", decoder.connectionCount());
        counts.put("RPCs", decoder.rpcCount());
        return counts;
    }

    /** Reads all remaining packets as TCP streams; returns counts of irregularities by kind. */
    public Map<String, Long> streams(Reassembly.Listener listener, PacketListener packetListener) throws IOException {
        Decoder decoder = new Decoder();
        Reassembly reassembly = new Reassembly();
        Segment segment = new Segment();
        for (Packet packet = next(); packet != null; packet = next()) {
            packetListener.packet(packet);
            if (decoder.decode(packet, segment)) {
                reassembly.addSegment(segment);
                drain(reassembly, listener);
            }
        }
        reassembly.end();
        drain(reassembly, listener);
        Map<String, Long> counts = new TreeMap<>(reassembly.counts());
        decoder.skipped().forEach((kind, count) -> counts.put("packets: " + kind, count));
        return counts;
    }

    private static void drain(Reassembly reassembly, Reassembly.Listener listener) {
        while (reassembly.deliverNext(listener)) {
            continue;
        }
    }

    /** Describes what is missing at the end of truncated files, one text for each file. */
    public List<String> cutOff() {
        List<String> truncations = new ArrayList<>();
        for (OpenFile file : files) {
            if (file.reader.cutOff() != null) {
                truncations.add(file.reader.cutOff());
            }
        }
        return truncations;
    }

    public long packets() {
        return packets;
    }

    /** Captured bytes of the packets read so far. */
    public long bytes() {
        return bytes;
    }

    /** Earliest packet time, in nanoseconds since the Unix epoch. */
    public long firstTimestampNs() {
        return firstTimestampNs;
    }

    public long lastTimestampNs() {
        return lastTimestampNs;
    }

    @Override
    public void close() throws IOException {
        for (OpenFile file : files) {
            file.reader.close();
        }
    }
}
