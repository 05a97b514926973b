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
 * Decides what becomes of segments: which bytes are next in a direction, what is held until those before it come,
 * and when what is missing is given up. It has no I/O: segments only update what is known, {@link #next} says what
 * has come of them until there is nothing to say. Times are nanoseconds of the capture.
 *
 * <p>Held bytes are bounded for a direction and in all. Beyond a direction's bound its own first gap is given up;
 * beyond the bound in all, the gap that has waited longest anywhere, since what has been missing for longest is
 * least likely to come. Connections beyond their bound: the one silent longest is closed.
 *
 * <p>The first segments of a connection wait until both its SYNs are there, for a tenth of a second at the most: they
 * may come shuffled. Data that acknowledges what has not come from the other side waits for it as long, so that an
 * answer is never handed on before its question. A gap whose bytes the other side has acknowledged was lost by the capture, not the network, and is
 * given up as soon.
 */
public final class Reassembly {

    /** How a connection ended. */
    public enum End { CLOSED, RESET, REUSED, SILENT, CROWDED, CUT }

    /** Hears, one thing at a call, what has come of the segments. */
    public interface Out {

        void opened(Flow flow, long at);

        /** Bytes in order; the client's or the server's. */
        void data(Flow flow, boolean isClient, byte[] bytes, long at);

        /** Bytes that are missing for good. */
        void hole(Flow flow, boolean isClient, long length, long at);

        void closed(Flow flow, End how, long at);
    }

    /** One direction of a connection. */
    private final class Direction {

        final Flow flow;
        final boolean isClient;
        final Pieces buffer = new Pieces(maxBufferedPerDirection);
        /** The sequence number at offset 0, as 32 bits. */
        int initialSequence;
        boolean hasInitialSequence;
        /** Since when the next byte is missing while later ones are held. */
        long gapSinceNs;
        /** Since when the other side has what is missing here; under 0 where it has not. */
        long ackedSinceNs = -1;
        /** Data that acknowledges more than has come from the other side, and since when it waits. */
        final ArrayDeque<Segment> blocked = new ArrayDeque<>(0);
        long blockedSinceNs;
        /** Where the last byte is; negative before that is known. */
        long endOffset = -1;

        Direction(Flow flow, boolean isClient) {
            this.flow = flow;
            this.isClient = isClient;
        }

        void setInitialSequence(int sequence) {
            initialSequence = sequence;
            hasInitialSequence = true;
        }

        /** Where a sequence number stands, from what is near: it turns over after 2^32. */
        long offset(int seq) {
            long base = buffer.base();
            return base + (seq - (initialSequence + (int) base));
        }

        boolean isAtEnd() {
            return endOffset >= 0 && buffer.base() >= endOffset;
        }
    }

    /** A connection: its two ends, the client's first. */
    public final class Flow {

        public final Address client;
        public final Address server;
        public final long number;
        /** Whether its beginning was seen. */
        public final boolean isWhole;
        /** For whoever hears of it. */
        public Object subject;
        private final Direction fromClient = new Direction(this, true);
        private final Direction fromServer = new Direction(this, false);
        private long lastSegmentNs;
        private boolean isClosed;

        Flow(Address client, Address server, long number, boolean isFromStart) {
            this.client = client;
            this.server = server;
            this.number = number;
            this.isWhole = isFromStart;
        }

        @Override
        public String toString() {
            return client + " to " + server;
        }
    }

    /** A connection of which not both SYNs are there yet, and what has come of it. */
    private static final class PendingConnection {
        final List<Segment> segments = new ArrayList<>();
        Segment syn;
        Segment synAck;
        long bytes;
    }

    /** The two ends, the lesser first. */
    private record EndpointPair(Address lower, Address higher) { }

    private interface Event {

        void deliverTo(Out out);
    }

    private static final int MAX_PENDING_SEGMENTS = 64;
    /** So long first segments wait for SYNs, and an acknowledged gap for what was only shuffled. */
    private static final long REORDER_WAIT_NS = 100_000_000L;

    private final int maxBufferedPerDirection;
    private final long maxBufferedTotal;
    private final int maxFlows;
    private final long gapTimeoutNs;
    private final long idleTimeoutNs;
    private final LinkedHashMap<EndpointPair, Flow> flows = new LinkedHashMap<>(64, 0.75f, true);
    /** Directions with a gap, the one that has waited longest first. */
    private final LinkedHashSet<Direction> gaps = new LinkedHashSet<>();
    /** Those of them that the other side has acknowledged, in the order of that. */
    private final LinkedHashSet<Direction> acked = new LinkedHashSet<>();
    /** Directions whose data waits for the other one, the one that has waited longest first. */
    private final LinkedHashSet<Direction> blocked = new LinkedHashSet<>();
    private final LinkedHashMap<EndpointPair, PendingConnection> pending = new LinkedHashMap<>();
    private long pendingBytes;
    /** When what is handed on now was said. */
    private long dataTimestampNs;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Set<Integer> serverPorts = new HashSet<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private long bufferedBytes;
    private long openedCount;
    private long nowNs = Long.MIN_VALUE;

    /** Bytes held a direction and in all, connections, how long a gap and a silent connection wait. */
    public Reassembly(int maxBufferedPerDirection, long maxBufferedTotal, int maxFlows, long gapTimeoutNs, long idleTimeoutNs) {
        this.maxBufferedPerDirection = maxBufferedPerDirection;
        this.maxBufferedTotal = maxBufferedTotal;
        this.maxFlows = maxFlows;
        this.gapTimeoutNs = gapTimeoutNs;
        this.idleTimeoutNs = idleTimeoutNs;
    }

    /** With bounds for everyday files: 256 KiB a direction, 64 MiB in all, 100,000 connections, 3 s, 2 h. */
    public Reassembly() {
        this(1 << 18, 64L << 20, 100_000, 3_000_000_000L, 7_200_000_000_000L);
    }

    private void count(String kind, long amount) {
        counts.merge(kind, amount, Long::sum);
    }

    /** What was out of the ordinary, by kind. */
    public Map<String, Long> counts() {
        return counts;
    }

    public long held() {
        return bufferedBytes + pendingBytes;
    }

    public int flows() {
        return flows.size() + pending.size();
    }

    /** A port at which servers listen, for connections whose beginning is not in the capture. */
    public void addServerPort(int port) {
        serverPorts.add(port);
    }

    public void take(Segment segment) {
        // Clocks that step back do not make gaps wait for ever, nor end them at once.
        if (segment.at < nowNs) {
            count("time went back", 1);
        }
        nowNs = Math.max(nowNs, segment.at);
        expire();
        boolean isFromLower = segment.from.compareTo(segment.to) <= 0;
        EndpointPair endpoints = isFromLower ? new EndpointPair(segment.from, segment.to) : new EndpointPair(segment.to, segment.from);
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
        if (connection != null && isInitialSyn(segment) && connection.syn != null && connection.syn.seq != segment.seq) {
            // Another connection between the same ports, before the first one had an answer.
            startFlow(endpoints, connection);
            take(segment);
            return;
        }
        if (connection == null) {
            if (segment.has(Segment.RST) || segment.sent == 0 && !isSyn) {
                return;
            }
            connection = new PendingConnection();
            pending.put(endpoints, connection);
        }
        Segment copy = copy(segment);
        copy.at = nowNs;
        connection.segments.add(copy);
        connection.bytes += copy.length;
        pendingBytes += copy.length;
        if (isSyn && segment.has(Segment.ACK)) {
            connection.synAck = copy;
        } else if (isSyn) {
            connection.syn = copy;
        }
        if (connection.syn != null && connection.synAck != null || connection.segments.size() >= MAX_PENDING_SEGMENTS || segment.has(Segment.RST)) {
            startFlow(endpoints, connection);
        }
        while (!pending.isEmpty() && (pendingBytes > maxBufferedTotal || flows.size() + pending.size() > maxFlows)) {
            Map.Entry<EndpointPair, PendingConnection> eldest = pending.entrySet().iterator().next();
            startFlow(eldest.getKey(), eldest.getValue());
        }
    }

    private static Segment copy(Segment segment) {
        Segment copy = new Segment();
        copy.at = segment.at;
        copy.from = segment.from;
        copy.to = segment.to;
        copy.seq = segment.seq;
        copy.ack = segment.ack;
        copy.flags = segment.flags;
        copy.data = Arrays.copyOfRange(segment.data, segment.start, segment.start + segment.length);
        copy.length = segment.length;
        copy.sent = segment.sent;
        return copy;
    }

    /** What has come of a connection is taken now, in the order of its sequence numbers where SYNs are missing. */
    private void startFlow(EndpointPair endpoints, PendingConnection connection) {
        pending.remove(endpoints);
        pendingBytes -= connection.bytes;
        Segment syn = connection.syn != null ? connection.syn : connection.synAck;
        Flow flow = open(syn != null ? syn : connection.segments.get(0), syn != null);
        flows.put(endpoints, flow);
        for (Segment segment : connection.segments) {
            Direction direction = segment.from.equals(flow.client) ? flow.fromClient : flow.fromServer;
            int begin = segment.seq + (segment.has(Segment.SYN) ? 1 : 0);
            if (!direction.hasInitialSequence || segment.has(Segment.SYN) || (direction.isClient ? connection.syn : connection.synAck) == null
                    && begin - direction.initialSequence < 0 && direction.initialSequence - begin < 1 << 24) {
                direction.setInitialSequence(begin);
            }
        }
        long savedNowNs = nowNs;
        for (Segment segment : connection.segments) {
            if (flow.isClosed) {
                break;
            }
            nowNs = segment.at;
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
            if (segment.length > 0) {
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
        if (segment.sent > 0 && acknowledgesMissing(opposite, segment)) {
            Segment copy = copy(segment);
            pendingBytes += copy.length;
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
            long end = direction.offset(segment.seq) + segment.sent;
            direction.endOffset = direction.endOffset < 0 ? end : Math.min(direction.endOffset, Math.max(end, direction.buffer.base()));
        }
        if (flow.fromClient.isAtEnd() && flow.fromServer.isAtEnd()) {
            close(flow, endpoints, End.CLOSED);
        }
    }

    /** Whether a segment acknowledges what has not come; the end counts as a byte and need not be seen. */
    private static boolean acknowledgesMissing(Direction opposite, Segment segment) {
        if (!segment.has(Segment.ACK)) {
            return false;
        }
        long acknowledged = opposite.offset(segment.ack);
        return opposite.buffer.base() < (opposite.endOffset >= 0 ? Math.min(acknowledged, opposite.endOffset) : acknowledged);
    }

    private Direction opposite(Direction direction) {
        return direction.isClient ? direction.flow.fromServer : direction.flow.fromClient;
    }

    /** Hands on what has waited for the other direction, as far as that has come. */
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
                pendingBytes -= segment.length;
                processData(direction, segment, segment.seq);
                isReleased = true;
            }
        }
        if (direction.blocked.isEmpty()) {
            blocked.remove(direction);
        }
        return isReleased;
    }

    /** What the first that waits there waits for will not come. */
    private void forceBlocked(Direction direction) {
        Direction opposite = opposite(direction);
        Segment segment = direction.blocked.stream().min((a, b) -> a.seq - b.seq).orElseThrow();
        long acknowledged = opposite.offset(segment.ack);
        count("acknowledged and not there", 1);
        while (opposite.buffer.bufferedBytes() > 0 && opposite.buffer.base() < acknowledged) {
            abandonGap(opposite, "gaps that were acknowledged");
        }
        if (acknowledged - opposite.buffer.base() == 1) {
            // An end that was not seen.
            opposite.endOffset = opposite.endOffset < 0 ? opposite.buffer.base() : opposite.endOffset;
        } else if (acknowledged - opposite.buffer.base() > 1 && acknowledged - opposite.buffer.base() < 1 << 30) {
            emitHole(opposite, acknowledged);
        }
        direction.blocked.remove(segment);
        pendingBytes -= segment.length;
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

    /** A SYN that begins another connection between the same ports, not the same one once more. */
    private static boolean startsNewConnection(Flow flow, Segment segment) {
        Direction direction = segment.from.equals(flow.client) ? flow.fromClient : flow.fromServer;
        return !direction.isClient || direction.hasInitialSequence && direction.offset(segment.seq + 1) != 0 || flow.fromClient.isAtEnd();
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
        long at = nowNs;
        events.add(out -> out.opened(flow, at));
        return flow;
    }

    private void processData(Direction direction, Segment segment, int seq) {
        dataTimestampNs = segment.at;
        long offset = direction.offset(seq);
        int start = segment.start;
        int length = segment.length;
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
            // The usual case: nothing is held, and what comes is next.
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
                // What was held has gone out, perhaps past where this begins: looked at anew. Found by a property test.
                processData(direction, segment, seq);
                return;
            }
            if (!direction.buffer.fits(offset + length)) {
                // Nothing is held, and the segment lies further on than anything may be held.
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

    /** What a capture cut off a segment never comes: a hole as soon as it is next. */
    private void skipUncaptured(Direction direction, Segment segment, long offset) {
        long end = direction.offset(segment.seq) + segment.sent;
        if (segment.length < segment.sent && direction.buffer.bufferedBytes() == 0 && direction.buffer.base() < end
                && direction.buffer.base() >= offset) {
            emitHole(direction, end);
        }
    }

    private void deliver(Direction direction) {
        if (direction.buffer.ready() > 0) {
            byte[] bytes = direction.buffer.take();
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

    /** What is missing before the first run that is held will not come. */
    private void abandonGap(Direction direction, String reason) {
        count(reason, 1);
        emitHole(direction, direction.buffer.firstRunStart());
        deliver(direction);
    }

    private void expire() {
        while (!pending.isEmpty()) {
            Map.Entry<EndpointPair, PendingConnection> eldest = pending.entrySet().iterator().next();
            if (nowNs - eldest.getValue().segments.get(0).at < REORDER_WAIT_NS) {
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

    /** Nothing more comes: what is open ends here. */
    public void end() {
        for (Map.Entry<EndpointPair, PendingConnection> entry : new ArrayList<>(pending.entrySet())) {
            startFlow(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<EndpointPair, Flow> entry : new ArrayList<>(flows.entrySet())) {
            close(entry.getValue(), entry.getKey(), End.CUT);
        }
    }

    /** Says one thing; false when there is nothing to say. */
    public boolean next(Out listener) {
        Event event = events.poll();
        if (event == null) {
            return false;
        }
        event.deliverTo(listener);
        return true;
    }
}
