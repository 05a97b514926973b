package honeygap.capture.stream;

import honeygap.capture.packet.Address;
import honeygap.capture.packet.Segment;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reassembles TCP segments into byte streams: delivers the bytes of each direction in order, buffers those that arrive
 * early and decides when missing bytes are abandoned. Does no I/O: segments only update the state and queue events,
 * {@link #deliverNext} delivers the events one by one. Times are nanoseconds of capture time.
 *
 * <p>Buffered bytes are limited for each direction and in total. Over a direction's limit its own first gap is
 * abandoned; over the total limit, the gap that has waited longest in any direction, since the bytes missing longest
 * are the least likely to arrive. Over the limit of connections, the one idle longest is closed.
 *
 * <p>The first segments of a connection wait until both SYNs have arrived, for a tenth of a second at most, since the
 * capture may have reordered them. Data that acknowledges bytes not yet seen from the other side waits for them as
 * long, so that a response is never delivered before its request. A gap whose bytes the other side has acknowledged
 * was lost by the capture, not the network, and is abandoned after the same time.
 */
public final class Reassembly {

    /** How a connection ended; CUT: still open at the end of the capture; CROWDED: closed over the connection limit. */
    public enum End { CLOSED, RESET, REUSED, SILENT, CROWDED, CUT }

    /** Receives the events of the reassembly, one for each call of {@link #deliverNext}. */
    public interface Listener {

        void opened(Flow flow, long timestampNs);

        /** The next bytes in order, sent by the client or by the server. */
        void data(Flow flow, boolean isClient, byte[] bytes, long timestampNs);

        /** Bytes that are missing and were abandoned. */
        void hole(Flow flow, boolean isClient, long length, long timestampNs);

        void closed(Flow flow, End end, long timestampNs);
    }

    /** One direction of a connection. */
    private final class Direction {

        final Flow flow;
        final boolean isClient;
        final ReassemblyBuffer buffer = new ReassemblyBuffer(maxBufferedPerDirection);
        /** The 32-bit sequence number of offset 0. */
        int initialSequence;
        boolean hasInitialSequence;
        /** Since when the next byte has been missing while later ones are buffered. */
        long gapSinceNs;
        /** When the other side acknowledged the missing bytes; negative if it has not. */
        long ackedSinceNs = -1;
        /** Data that acknowledges more than has been seen from the other side, and since when it waits. */
        final ArrayDeque<Segment> blocked = new ArrayDeque<>(0);
        long blockedSinceNs;
        /** Offset of the stream's end; negative while unknown. */
        long endOffset = -1;

        Direction(Flow flow, boolean isClient) {
            this.flow = flow;
            this.isClient = isClient;
        }

        void setInitialSequence(int sequence) {
            initialSequence = sequence;
            hasInitialSequence = true;
        }

        /** Stream offset of a sequence number, taken as the one nearest to the base since numbers wrap at 2^32. */
        long offset(int seq) {
            long base = buffer.base();
            return base + (seq - (initialSequence + (int) base));
        }

        boolean isAtEnd() {
            return endOffset >= 0 && buffer.base() >= endOffset;
        }
    }

    /** A TCP connection. */
    public final class Flow {

        public final Address client;
        public final Address server;
        public final long number;
        /** Whether its SYN was seen. */
        public final boolean isFromStart;
        /** For use by the listener. */
        public Object attachment;
        private final Direction fromClient = new Direction(this, true);
        private final Direction fromServer = new Direction(this, false);
        private long lastSegmentNs;
        private boolean isClosed;

        Flow(Address client, Address server, long number, boolean isFromStart) {
            this.client = client;
            this.server = server;
            this.number = number;
            this.isFromStart = isFromStart;
        }

        @Override
        public String toString() {
            return client + " to " + server;
        }
    }

    /** A connection whose SYN or SYN-ACK is still missing, with the segments seen so far. */
    private static final class PendingConnection {
        final List<Segment> segments = new ArrayList<>();
        Segment syn;
        Segment synAck;
        long bytes;
    }

    /** The two endpoints of a connection, the lower address first. */
    private record EndpointPair(Address lower, Address higher) { }

    private interface Event {

        void deliverTo(Listener out);
    }

    private static final int MAX_PENDING_SEGMENTS = 64;
    /** How long first segments wait for the SYNs, and acknowledged gaps for reordered segments. */
    private static final long REORDER_WAIT_NS = 100_000_000L;

    private final int maxBufferedPerDirection;
    private final long maxBufferedTotal;
    private final int maxFlows;
    private final long gapTimeoutNs;
    private final long idleTimeoutNs;
    private final LinkedHashMap<EndpointPair, Flow> flows = new LinkedHashMap<>(64, 0.75f, true);
    /** Directions with a gap, the oldest gap first. */
    private final LinkedHashSet<Direction> gaps = new LinkedHashSet<>();
    /** Directions whose gap the other side has acknowledged, in order of the acknowledgement. */
    private final LinkedHashSet<Direction> acked = new LinkedHashSet<>();
    /** Directions whose data waits for the opposite one, the longest wait first. */
    private final LinkedHashSet<Direction> blocked = new LinkedHashSet<>();
    private final LinkedHashMap<EndpointPair, PendingConnection> pending = new LinkedHashMap<>();
    private long pendingBytes;
    /** Capture time of the segment whose data is being delivered. */
    private long dataTimestampNs;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Set<Integer> serverPorts = new HashSet<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private long bufferedBytes;
    private long openedCount;
    private long nowNs = Long.MIN_VALUE;

    /**
     * Limits of buffered bytes for each direction and in total, and of connections; the times after which a gap is
     * abandoned and an idle connection is closed.
     */
    public Reassembly(int maxBufferedPerDirection, long maxBufferedTotal, int maxFlows, long gapTimeoutNs,
            long idleTimeoutNs) {
        this.maxBufferedPerDirection = maxBufferedPerDirection;
        this.maxBufferedTotal = maxBufferedTotal;
        this.maxFlows = maxFlows;
        this.gapTimeoutNs = gapTimeoutNs;
        this.idleTimeoutNs = idleTimeoutNs;
    }

    /** Uses the default limits: 256 KiB for each direction, 64 MiB in total, 100,000 connections, 3 s, 2 h. */
    public Reassembly() {
        this(1 << 18, 64L << 20, 100_000, 3_000_000_000L, 7_200_000_000_000L);
    }

    private void count(String kind, long amount) {
        counts.merge(kind, amount, Long::sum);
    }

    /** Irregularities found, by kind. */
    public Map<String, Long> counts() {
        return counts;
    }

    public long bufferedBytes() {
        return bufferedBytes + pendingBytes;
    }

    public int flows() {
        return flows.size() + pending.size();
    }

    /** Adds a server port, which tells the client from the server if a connection's start is not in the capture. */
    public void addServerPort(int port) {
        serverPorts.add(port);
    }

    public void addSegment(Segment segment) {
        // The time used for timeouts never goes back, so that a clock step neither delays nor expires gaps.
        if (segment.timestampNs < nowNs) {
            count("time went back", 1);
        }
        nowNs = Math.max(nowNs, segment.timestampNs);
        expire();
        boolean isFromLower = segment.from.compareTo(segment.to) <= 0;
        EndpointPair endpoints = isFromLower ? new EndpointPair(segment.from, segment.to)
                : new EndpointPair(segment.to, segment.from);
        Flow flow = flows.get(endpoints);
        if (flow != null && isInitialSyn(segment) && startsNewConnection(flow, segment)) {
            close(flow, endpoints, End.REUSED);
            flow = null;
        }
        if (flow != null) {
            processSegment(flow, endpoints, segment);
        } else {
            addPending(endpoints, segment);
        }
    }

    private static boolean isInitialSyn(Segment segment) {
        return segment.has(Segment.SYN) && !segment.has(Segment.ACK);
    }

    private void addPending(EndpointPair endpoints, Segment segment) {
        PendingConnection connection = pending.get(endpoints);
        boolean isSyn = segment.has(Segment.SYN);
        if (connection != null && isInitialSyn(segment) && connection.syn != null
                && connection.syn.seq != segment.seq) {
            // A new connection between the same ports, before the first one got its SYN-ACK.
            startFlow(endpoints, connection);
            addSegment(segment);
            return;
        }
        if (connection == null) {
            if (segment.has(Segment.RST) || segment.payloadLength == 0 && !isSyn) {
                return;
            }
            connection = new PendingConnection();
            pending.put(endpoints, connection);
        }
        Segment copy = copy(segment);
        copy.timestampNs = nowNs;
        connection.segments.add(copy);
        connection.bytes += copy.capturedLength;
        pendingBytes += copy.capturedLength;
        if (isSyn && segment.has(Segment.ACK)) {
            connection.synAck = copy;
        } else if (isSyn) {
            connection.syn = copy;
        }
        if (connection.syn != null && connection.synAck != null || connection.segments.size() >= MAX_PENDING_SEGMENTS
                || segment.has(Segment.RST)) {
            startFlow(endpoints, connection);
        }
        while (!pending.isEmpty() && (pendingBytes > maxBufferedTotal || flows.size() + pending.size() > maxFlows)) {
            Map.Entry<EndpointPair, PendingConnection> eldest = pending.entrySet().iterator().next();
            startFlow(eldest.getKey(), eldest.getValue());
        }
    }

    private static Segment copy(Segment segment) {
        Segment copy = new Segment();
        copy.timestampNs = segment.timestampNs;
        copy.from = segment.from;
        copy.to = segment.to;
        copy.seq = segment.seq;
        copy.ack = segment.ack;
        copy.flags = segment.flags;
        copy.data = Arrays.copyOfRange(segment.data, segment.dataOffset, segment.dataOffset + segment.capturedLength);
        copy.capturedLength = segment.capturedLength;
        copy.payloadLength = segment.payloadLength;
        return copy;
    }

    /** Processes the waiting segments; a direction whose SYN is missing starts at its lowest sequence number. */
    private void startFlow(EndpointPair endpoints, PendingConnection connection) {
        pending.remove(endpoints);
        pendingBytes -= connection.bytes;
        Segment syn = connection.syn != null ? connection.syn : connection.synAck;
        Flow flow = open(syn != null ? syn : connection.segments.get(0), syn != null);
        flows.put(endpoints, flow);
        for (Segment segment : connection.segments) {
            Direction direction = segment.from.equals(flow.client) ? flow.fromClient : flow.fromServer;
            int begin = segment.seq + (segment.has(Segment.SYN) ? 1 : 0);
            if (!direction.hasInitialSequence || segment.has(Segment.SYN)
                    || (direction.isClient ? connection.syn : connection.synAck) == null
                    && begin - direction.initialSequence < 0 && direction.initialSequence - begin < 1 << 24) {
                direction.setInitialSequence(begin);
            }
        }
        long savedNowNs = nowNs;
        for (Segment segment : connection.segments) {
            if (flow.isClosed) {
                break;
            }
            nowNs = segment.timestampNs;
            processSegment(flow, endpoints, segment);
        }
        nowNs = savedNowNs;
        if (flows.size() > maxFlows) {
            Map.Entry<EndpointPair, Flow> eldest = flows.entrySet().iterator().next();
            close(eldest.getValue(), eldest.getKey(), End.CROWDED);
        }
    }

    private void processSegment(Flow flow, EndpointPair endpoints, Segment segment) {
        flow.lastSegmentNs = nowNs;
        boolean isFromClient = segment.from.equals(flow.client);
        Direction direction = isFromClient ? flow.fromClient : flow.fromServer;
        Direction opposite = isFromClient ? flow.fromServer : flow.fromClient;
        if (segment.has(Segment.RST)) {
            close(flow, endpoints, End.RESET);
            return;
        }
        if (segment.has(Segment.SYN)) {
            if (!direction.hasInitialSequence) {
                direction.setInitialSequence(segment.seq + 1);
            }
            if (segment.capturedLength > 0) {
                processData(direction, segment, segment.seq + 1);
            }
            return;
        }
        if (!direction.hasInitialSequence) {
            direction.setInitialSequence(segment.seq);
        }
        if (segment.has(Segment.ACK) && opposite.ackedSinceNs < 0 && gaps.contains(opposite)
                && opposite.offset(segment.ack) >= opposite.buffer.firstRunStart()) {
            opposite.ackedSinceNs = nowNs;
            acked.add(opposite);
        }
        if (segment.has(Segment.ACK) && !opposite.hasInitialSequence) {
            opposite.setInitialSequence(segment.ack);
        }
        if (segment.payloadLength > 0 && acknowledgesMissing(opposite, segment)) {
            Segment copy = copy(segment);
            pendingBytes += copy.capturedLength;
            direction.blocked.add(copy);
            if (blocked.add(direction)) {
                direction.blockedSinceNs = nowNs;
            }
            if (direction.blocked.size() >= MAX_PENDING_SEGMENTS || pendingBytes > maxBufferedTotal) {
                forceBlocked(direction);
            }
        } else {
            processData(direction, segment, segment.seq);
        }
        releaseBlocked(flow);
        if (segment.has(Segment.FIN)) {
            long end = direction.offset(segment.seq) + segment.payloadLength;
            direction.endOffset = direction.endOffset < 0 ? end
                    : Math.min(direction.endOffset, Math.max(end, direction.buffer.base()));
        }
        if (flow.fromClient.isAtEnd() && flow.fromServer.isAtEnd()) {
            close(flow, endpoints, End.CLOSED);
        }
    }

    /** Whether a segment acknowledges bytes not yet seen; the FIN's sequence number is not counted. */
    private static boolean acknowledgesMissing(Direction opposite, Segment segment) {
        if (!segment.has(Segment.ACK)) {
            return false;
        }
        long acknowledged = opposite.offset(segment.ack);
        return opposite.buffer.base()
                < (opposite.endOffset >= 0 ? Math.min(acknowledged, opposite.endOffset) : acknowledged);
    }

    private Direction opposite(Direction direction) {
        return direction.isClient ? direction.flow.fromServer : direction.flow.fromClient;
    }

    /** Delivers data that waited for the opposite direction, as far as that has advanced. */
    private void releaseBlocked(Flow flow) {
        boolean more = !flow.fromClient.blocked.isEmpty() || !flow.fromServer.blocked.isEmpty();
        while (more) {
            more = releaseBlocked(flow.fromClient) | releaseBlocked(flow.fromServer);
        }
    }

    private boolean releaseBlocked(Direction direction) {
        boolean isReleased = false;
        for (Iterator<Segment> segments = direction.blocked.iterator(); segments.hasNext();) {
            Segment segment = segments.next();
            if (!acknowledgesMissing(opposite(direction), segment)) {
                segments.remove();
                pendingBytes -= segment.capturedLength;
                processData(direction, segment, segment.seq);
                isReleased = true;
            }
        }
        if (direction.blocked.isEmpty()) {
            blocked.remove(direction);
        }
        return isReleased;
    }

    /** Stops waiting for the bytes that the first blocked segment acknowledges, and delivers that segment. */
    private void forceBlocked(Direction direction) {
        Direction opposite = opposite(direction);
        Segment segment = direction.blocked.stream().min((a, b) -> a.seq - b.seq).orElseThrow();
        long acknowledged = opposite.offset(segment.ack);
        count("acknowledged and not there", 1);
        while (opposite.buffer.bufferedBytes() > 0 && opposite.buffer.base() < acknowledged) {
            abandonGap(opposite, "gaps that were acknowledged");
        }
        if (acknowledged - opposite.buffer.base() == 1) {
            // Only the FIN was not seen.
            opposite.endOffset = opposite.endOffset < 0 ? opposite.buffer.base() : opposite.endOffset;
        } else if (acknowledged - opposite.buffer.base() > 1 && acknowledged - opposite.buffer.base() < 1 << 30) {
            emitHole(opposite, acknowledged);
        }
        direction.blocked.remove(segment);
        pendingBytes -= segment.capturedLength;
        processData(direction, segment, segment.seq);
        if (direction.blocked.isEmpty()) {
            blocked.remove(direction);
        } else {
            direction.blockedSinceNs = nowNs;
            blocked.remove(direction);
            blocked.add(direction);
        }
        releaseBlocked(direction.flow);
    }

    /** Whether a SYN starts a new connection between the same ports, rather than being a retransmission. */
    private static boolean startsNewConnection(Flow flow, Segment segment) {
        Direction direction = segment.from.equals(flow.client) ? flow.fromClient : flow.fromServer;
        return !direction.isClient || direction.hasInitialSequence && direction.offset(segment.seq + 1) != 0
                || flow.fromClient.isAtEnd();
    }

    private Flow open(Segment segment, boolean isSyn) {
        boolean isFromClient = isSyn ? !segment.has(Segment.ACK)
                : serverPorts.contains(segment.to.port()) || !serverPorts.contains(segment.from.port())
                && segment.to.port() <= segment.from.port();
        Flow flow = isFromClient ? new Flow(segment.from, segment.to, ++openedCount, isSyn)
                : new Flow(segment.to, segment.from, ++openedCount, isSyn);
        if (isSyn) {
            serverPorts.add(flow.server.port());
        } else {
            count("joined midway", 1);
        }
        long timestampNs = nowNs;
        events.add(out -> out.opened(flow, timestampNs));
        return flow;
    }

    private void processData(Direction direction, Segment segment, int seq) {
        dataTimestampNs = segment.timestampNs;
        long offset = direction.offset(seq);
        int start = segment.dataOffset;
        int length = segment.capturedLength;
        long base = direction.buffer.base();
        if (offset + length <= base || length == 0) {
            count("duplicates", length > 0 ? 1 : 0);
            skipUncaptured(direction, segment, offset);
            return;
        }
        if (direction.endOffset >= 0 && offset + length > direction.endOffset) {
            count("behind the end", 1);
            return;
        }
        if (offset < base) {
            count("overlaps", 1);
            start += (int) (base - offset);
            length -= (int) (base - offset);
            offset = base;
        }
        if (offset == base && direction.buffer.bufferedBytes() == 0) {
            // The common case: nothing is buffered and the segment is next in order.
            byte[] bytes = Arrays.copyOfRange(segment.data, start, start + length);
            direction.buffer.advanceTo(offset + length);
            emitData(direction, bytes);
        } else {
            if (offset != base) {
                count("out of order", 1);
            }
            while (!direction.buffer.fits(offset + length) && direction.buffer.bufferedBytes() > 0) {
                abandonGap(direction, "gaps beyond the bound");
            }
            if (direction.buffer.base() > base) {
                // Abandoning a gap delivered buffered bytes, perhaps beyond the start of this segment, so its offset is
                // stale: process it anew.
                processData(direction, segment, seq);
                return;
            }
            if (!direction.buffer.fits(offset + length)) {
                // Nothing is buffered, and the segment lies beyond the largest window.
                emitHole(direction, offset);
            }
            int before = direction.buffer.bufferedBytes();
            int differing = direction.buffer.add(offset, segment.data, start, length);
            if (differing > 0) {
                count("overlaps that differ", 1);
            }
            bufferedBytes += direction.buffer.bufferedBytes() - before;
            deliver(direction);
        }
        skipUncaptured(direction, segment, offset);
        while (bufferedBytes > maxBufferedTotal && !gaps.isEmpty()) {
            abandonGap(gaps.iterator().next(), "gaps beyond the bound in all");
        }
    }

    /** Bytes cut off by the snap length never arrive: they become a hole as soon as they are next in order. */
    private void skipUncaptured(Direction direction, Segment segment, long offset) {
        long end = direction.offset(segment.seq) + segment.payloadLength;
        if (segment.capturedLength < segment.payloadLength && direction.buffer.bufferedBytes() == 0 && direction.buffer.base() < end
                && direction.buffer.base() >= offset) {
            emitHole(direction, end);
        }
    }

    private void deliver(Direction direction) {
        if (direction.buffer.readyBytes() > 0) {
            byte[] bytes = direction.buffer.removeReady();
            bufferedBytes -= bytes.length;
            emitData(direction, bytes);
            clearGap(direction);
        }
        if (direction.buffer.bufferedBytes() > 0 && gaps.add(direction)) {
            direction.gapSinceNs = nowNs;
        }
    }

    private void clearGap(Direction direction) {
        gaps.remove(direction);
        acked.remove(direction);
        direction.ackedSinceNs = -1;
    }

    private void emitData(Direction direction, byte[] bytes) {
        long timestampNs = dataTimestampNs;
        events.add(out -> out.data(direction.flow, direction.isClient, bytes, timestampNs));
    }

    private void emitHole(Direction direction, long to) {
        long length = to - direction.buffer.base();
        long timestampNs = nowNs;
        direction.buffer.advanceTo(to);
        count("holes", 1);
        count("bytes missing", length);
        events.add(out -> out.hole(direction.flow, direction.isClient, length, timestampNs));
    }

    /** Abandons the missing bytes before the first buffered run. */
    private void abandonGap(Direction direction, String reason) {
        count(reason, 1);
        emitHole(direction, direction.buffer.firstRunStart());
        deliver(direction);
    }

    private void expire() {
        while (!pending.isEmpty()) {
            Map.Entry<EndpointPair, PendingConnection> eldest = pending.entrySet().iterator().next();
            if (nowNs - eldest.getValue().segments.get(0).timestampNs < REORDER_WAIT_NS) {
                break;
            }
            startFlow(eldest.getKey(), eldest.getValue());
        }
        while (!blocked.isEmpty() && nowNs - blocked.iterator().next().blockedSinceNs >= REORDER_WAIT_NS) {
            forceBlocked(blocked.iterator().next());
        }
        while (!acked.isEmpty()) {
            Direction direction = acked.iterator().next();
            if (nowNs - direction.ackedSinceNs < REORDER_WAIT_NS) {
                break;
            }
            abandonGap(direction, "gaps that were acknowledged");
        }
        while (!gaps.isEmpty()) {
            Direction direction = gaps.iterator().next();
            if (nowNs - direction.gapSinceNs < gapTimeoutNs) {
                break;
            }
            abandonGap(direction, "gaps that waited too long");
        }
        Iterator<Map.Entry<EndpointPair, Flow>> eldest = flows.entrySet().iterator();
        if (eldest.hasNext()) {
            Map.Entry<EndpointPair, Flow> entry = eldest.next();
            if (nowNs - entry.getValue().lastSegmentNs > idleTimeoutNs) {
                close(entry.getValue(), entry.getKey(), End.SILENT);
            }
        }
    }

    private void close(Flow flow, EndpointPair endpoints, End how) {
        flow.isClosed = true;
        flows.remove(endpoints);
        while (!flow.fromClient.blocked.isEmpty() || !flow.fromServer.blocked.isEmpty()) {
            forceBlocked(flow.fromClient.blocked.isEmpty() ? flow.fromServer : flow.fromClient);
        }
        for (Direction direction : new Direction[] {flow.fromClient, flow.fromServer}) {
            while (direction.buffer.bufferedBytes() > 0) {
                abandonGap(direction, "gaps at the end");
            }
            clearGap(direction);
            if (direction.endOffset > direction.buffer.base()) {
                emitHole(direction, direction.endOffset);
            }
        }
        long timestampNs = nowNs;
        events.add(out -> out.closed(flow, how, timestampNs));
    }

    /** Ends the capture and closes all open connections. */
    public void end() {
        for (Map.Entry<EndpointPair, PendingConnection> entry : new ArrayList<>(pending.entrySet())) {
            startFlow(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<EndpointPair, Flow> entry : new ArrayList<>(flows.entrySet())) {
            close(entry.getValue(), entry.getKey(), End.CUT);
        }
    }

    /** Delivers one event; false if there is none. */
    public boolean deliverNext(Listener listener) {
        Event event = events.poll();
        if (event == null) {
            return false;
        }
        event.deliverTo(listener);
        return true;
    }
}
