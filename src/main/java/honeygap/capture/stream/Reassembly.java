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
    private final class Way {

        final Flow flow;
        final boolean isClient;
        final Pieces pieces = new Pieces(mostHeld);
        /** The sequence number at offset 0, as 32 bits. */
        int zero;
        boolean isKnown;
        /** Since when the next byte is missing while later ones are held. */
        long gapSince;
        /** Since when the other side has what is missing here; under 0 where it has not. */
        long ackedSince = -1;
        /** Data that acknowledges more than has come from the other side, and since when it waits. */
        final ArrayDeque<Segment> blocked = new ArrayDeque<>(0);
        long blockedSince;
        /** Where the last byte is; negative before that is known. */
        long end = -1;

        Way(Flow flow, boolean isClient) {
            this.flow = flow;
            this.isClient = isClient;
        }

        void begin(int seq) {
            zero = seq;
            isKnown = true;
        }

        /** Where a sequence number stands, from what is near: it turns over after 2^32. */
        long offset(int seq) {
            long base = pieces.base();
            return base + (seq - (zero + (int) base));
        }

        boolean isAtEnd() {
            return end >= 0 && pieces.base() >= end;
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
        private final Way up = new Way(this, true);
        private final Way down = new Way(this, false);
        private long lastAt;
        private boolean isOver;

        Flow(Address client, Address server, long number, boolean isWhole) {
            this.client = client;
            this.server = server;
            this.number = number;
            this.isWhole = isWhole;
        }

        @Override
        public String toString() {
            return client + " to " + server;
        }
    }

    /** A connection of which not both SYNs are there yet, and what has come of it. */
    private static final class Joining {
        final List<Segment> early = new ArrayList<>();
        Segment first;
        Segment second;
        long bytes;
    }

    /** The two ends, the lesser first. */
    private record Ends(Address one, Address other) { }

    private interface Word {

        void say(Out out);
    }

    private static final int MOST_EARLY = 64;
    /** So long first segments wait for SYNs, and an acknowledged gap for what was only shuffled. */
    private static final long SHUFFLED = 100_000_000L;

    private final int mostHeld;
    private final long mostHeldInAll;
    private final int mostFlows;
    private final long gapWait;
    private final long silentFor;
    private final LinkedHashMap<Ends, Flow> flows = new LinkedHashMap<>(64, 0.75f, true);
    /** Directions with a gap, the one that has waited longest first. */
    private final LinkedHashSet<Way> gaps = new LinkedHashSet<>();
    /** Those of them that the other side has acknowledged, in the order of that. */
    private final LinkedHashSet<Way> acked = new LinkedHashSet<>();
    /** Directions whose data waits for the other one, the one that has waited longest first. */
    private final LinkedHashSet<Way> blocked = new LinkedHashSet<>();
    private final LinkedHashMap<Ends, Joining> joining = new LinkedHashMap<>();
    private long early;
    /** When what is handed on now was said. */
    private long saidAt;
    private final ArrayDeque<Word> words = new ArrayDeque<>();
    private final Set<Integer> serverPorts = new HashSet<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private long held;
    private long opened;
    private long now = Long.MIN_VALUE;

    /** Bytes held a direction and in all, connections, how long a gap and a silent connection wait. */
    public Reassembly(int mostHeld, long mostHeldInAll, int mostFlows, long gapWait, long silentFor) {
        this.mostHeld = mostHeld;
        this.mostHeldInAll = mostHeldInAll;
        this.mostFlows = mostFlows;
        this.gapWait = gapWait;
        this.silentFor = silentFor;
    }

    /** With bounds for everyday files: 256 KiB a direction, 64 MiB in all, 100,000 connections, 3 s, 2 h. */
    public Reassembly() {
        this(1 << 18, 64L << 20, 100_000, 3_000_000_000L, 7_200_000_000_000L);
    }

    private void count(String kind, long many) {
        counts.merge(kind, many, Long::sum);
    }

    /** What was out of the ordinary, by kind. */
    public Map<String, Long> counts() {
        return counts;
    }

    public long held() {
        return held + early;
    }

    public int flows() {
        return flows.size() + joining.size();
    }

    /** A port at which servers listen, for connections whose beginning is not in the capture. */
    public void servesAt(int port) {
        serverPorts.add(port);
    }

    public void take(Segment segment) {
        // Clocks that step back do not make gaps wait for ever, nor end them at once.
        if (segment.at < now) {
            count("time went back", 1);
        }
        now = Math.max(now, segment.at);
        expire();
        boolean isLess = segment.from.compareTo(segment.to) <= 0;
        Ends ends = isLess ? new Ends(segment.from, segment.to) : new Ends(segment.to, segment.from);
        Flow flow = flows.get(ends);
        if (flow != null && isFirst(segment) && isAnother(flow, segment)) {
            close(flow, ends, End.REUSED);
            flow = null;
        }
        if (flow != null) {
            take(flow, ends, segment);
        } else {
            join(ends, segment);
        }
    }

    private static boolean isFirst(Segment segment) {
        return segment.has(Segment.SYN) && !segment.has(Segment.ACK);
    }

    private void join(Ends ends, Segment segment) {
        Joining all = joining.get(ends);
        boolean isSyn = segment.has(Segment.SYN);
        if (all != null && isFirst(segment) && all.first != null && all.first.seq != segment.seq) {
            // Another connection between the same ports, before the first one had an answer.
            resolve(ends, all);
            take(segment);
            return;
        }
        if (all == null) {
            if (segment.has(Segment.RST) || segment.sent == 0 && !isSyn) {
                return;
            }
            all = new Joining();
            joining.put(ends, all);
        }
        Segment copy = copy(segment);
        copy.at = now;
        all.early.add(copy);
        all.bytes += copy.length;
        early += copy.length;
        if (isSyn && segment.has(Segment.ACK)) {
            all.second = copy;
        } else if (isSyn) {
            all.first = copy;
        }
        if (all.first != null && all.second != null || all.early.size() >= MOST_EARLY || segment.has(Segment.RST)) {
            resolve(ends, all);
        }
        while (!joining.isEmpty() && (early > mostHeldInAll || flows.size() + joining.size() > mostFlows)) {
            Map.Entry<Ends, Joining> eldest = joining.entrySet().iterator().next();
            resolve(eldest.getKey(), eldest.getValue());
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
    private void resolve(Ends ends, Joining all) {
        joining.remove(ends);
        early -= all.bytes;
        Segment syn = all.first != null ? all.first : all.second;
        Flow flow = open(syn != null ? syn : all.early.get(0), syn != null);
        flows.put(ends, flow);
        for (Segment one : all.early) {
            Way way = one.from.equals(flow.client) ? flow.up : flow.down;
            int begin = one.seq + (one.has(Segment.SYN) ? 1 : 0);
            if (!way.isKnown || one.has(Segment.SYN) || (way.isClient ? all.first : all.second) == null
                    && begin - way.zero < 0 && way.zero - begin < 1 << 24) {
                way.begin(begin);
            }
        }
        long real = now;
        for (Segment one : all.early) {
            if (flow.isOver) {
                break;
            }
            now = one.at;
            take(flow, ends, one);
        }
        now = real;
        if (flows.size() > mostFlows) {
            Map.Entry<Ends, Flow> eldest = flows.entrySet().iterator().next();
            close(eldest.getValue(), eldest.getKey(), End.CROWDED);
        }
    }

    private void take(Flow flow, Ends ends, Segment segment) {
        flow.lastAt = now;
        boolean isUp = segment.from.equals(flow.client);
        Way way = isUp ? flow.up : flow.down;
        Way other = isUp ? flow.down : flow.up;
        if (segment.has(Segment.RST)) {
            close(flow, ends, End.RESET);
            return;
        }
        if (segment.has(Segment.SYN)) {
            if (!way.isKnown) {
                way.begin(segment.seq + 1);
            }
            if (segment.length > 0) {
                data(way, segment, segment.seq + 1);
            }
            return;
        }
        if (!way.isKnown) {
            way.begin(segment.seq);
        }
        if (segment.has(Segment.ACK) && other.ackedSince < 0 && gaps.contains(other)
                && other.offset(segment.ack) >= other.pieces.firstRun()) {
            other.ackedSince = now;
            acked.add(other);
        }
        if (segment.has(Segment.ACK) && !other.isKnown) {
            other.begin(segment.ack);
        }
        if (segment.sent > 0 && needs(other, segment)) {
            Segment copy = copy(segment);
            early += copy.length;
            way.blocked.add(copy);
            if (blocked.add(way)) {
                way.blockedSince = now;
            }
            if (way.blocked.size() >= MOST_EARLY || early > mostHeldInAll) {
                force(way);
            }
        } else {
            data(way, segment, segment.seq);
        }
        release(flow);
        if (segment.has(Segment.FIN)) {
            long end = way.offset(segment.seq) + segment.sent;
            way.end = way.end < 0 ? end : Math.min(way.end, Math.max(end, way.pieces.base()));
        }
        if (flow.up.isAtEnd() && flow.down.isAtEnd()) {
            close(flow, ends, End.CLOSED);
        }
    }

    /** Whether a segment acknowledges what has not come; the end counts as a byte and need not be seen. */
    private static boolean needs(Way other, Segment segment) {
        if (!segment.has(Segment.ACK)) {
            return false;
        }
        long need = other.offset(segment.ack);
        return other.pieces.base() < (other.end >= 0 ? Math.min(need, other.end) : need);
    }

    private Way other(Way way) {
        return way.isClient ? way.flow.down : way.flow.up;
    }

    /** Hands on what has waited for the other direction, as far as that has come. */
    private void release(Flow flow) {
        boolean more = !flow.up.blocked.isEmpty() || !flow.down.blocked.isEmpty();
        while (more) {
            more = release(flow.up) | release(flow.down);
        }
    }

    private boolean release(Way way) {
        boolean some = false;
        for (Iterator<Segment> all = way.blocked.iterator(); all.hasNext();) {
            Segment segment = all.next();
            if (!needs(other(way), segment)) {
                all.remove();
                early -= segment.length;
                data(way, segment, segment.seq);
                some = true;
            }
        }
        if (way.blocked.isEmpty()) {
            blocked.remove(way);
        }
        return some;
    }

    /** What the first that waits there waits for will not come. */
    private void force(Way way) {
        Way other = other(way);
        Segment segment = way.blocked.stream().min((a, b) -> a.seq - b.seq).orElseThrow();
        long need = other.offset(segment.ack);
        count("acknowledged and not there", 1);
        while (other.pieces.held() > 0 && other.pieces.base() < need) {
            giveUp(other, "gaps that were acknowledged");
        }
        if (need - other.pieces.base() == 1) {
            // An end that was not seen.
            other.end = other.end < 0 ? other.pieces.base() : other.end;
        } else if (need - other.pieces.base() > 1 && need - other.pieces.base() < 1 << 30) {
            hole(other, need);
        }
        way.blocked.remove(segment);
        early -= segment.length;
        data(way, segment, segment.seq);
        if (way.blocked.isEmpty()) {
            blocked.remove(way);
        } else {
            way.blockedSince = now;
            blocked.remove(way);
            blocked.add(way);
        }
        release(way.flow);
    }

    /** A SYN that begins another connection between the same ports, not the same one once more. */
    private static boolean isAnother(Flow flow, Segment segment) {
        Way way = segment.from.equals(flow.client) ? flow.up : flow.down;
        return !way.isClient || way.isKnown && way.offset(segment.seq + 1) != 0 || flow.up.isAtEnd();
    }

    private Flow open(Segment segment, boolean isSyn) {
        boolean isFromClient = isSyn ? !segment.has(Segment.ACK)
                : serverPorts.contains(segment.to.port()) || !serverPorts.contains(segment.from.port())
                && segment.to.port() <= segment.from.port();
        Flow flow = isFromClient ? new Flow(segment.from, segment.to, ++opened, isSyn)
                : new Flow(segment.to, segment.from, ++opened, isSyn);
        if (isSyn) {
            serverPorts.add(flow.server.port());
        } else {
            count("joined midway", 1);
        }
        long at = now;
        words.add(out -> out.opened(flow, at));
        return flow;
    }

    private void data(Way way, Segment segment, int seq) {
        saidAt = segment.at;
        long at = way.offset(seq);
        int start = segment.start;
        int length = segment.length;
        long base = way.pieces.base();
        if (at + length <= base || length == 0) {
            count("duplicates", length > 0 ? 1 : 0);
            cutOff(way, segment, at);
            return;
        }
        if (way.end >= 0 && at + length > way.end) {
            count("behind the end", 1);
            return;
        }
        if (at < base) {
            count("overlaps", 1);
            start += (int) (base - at);
            length -= (int) (base - at);
            at = base;
        }
        if (at == base && way.pieces.held() == 0) {
            // The usual case: nothing is held, and what comes is next.
            byte[] bytes = Arrays.copyOfRange(segment.data, start, start + length);
            way.pieces.pass(at + length);
            say(way, bytes);
        } else {
            if (at != base) {
                count("out of order", 1);
            }
            while (!way.pieces.reaches(at + length) && way.pieces.held() > 0) {
                giveUp(way, "gaps beyond the bound");
            }
            if (way.pieces.base() > base) {
                // What was held has gone out, perhaps past where this begins: looked at anew. Found by a property test.
                data(way, segment, seq);
                return;
            }
            if (!way.pieces.reaches(at + length)) {
                // Nothing is held, and the segment lies further on than anything may be held.
                hole(way, at);
            }
            int before = way.pieces.held();
            int differing = way.pieces.add(at, segment.data, start, length);
            if (differing > 0) {
                count("overlaps that differ", 1);
            }
            held += way.pieces.held() - before;
            deliver(way);
        }
        cutOff(way, segment, at);
        while (held > mostHeldInAll && !gaps.isEmpty()) {
            giveUp(gaps.iterator().next(), "gaps beyond the bound in all");
        }
    }

    /** What a capture cut off a segment never comes: a hole as soon as it is next. */
    private void cutOff(Way way, Segment segment, long at) {
        long end = way.offset(segment.seq) + segment.sent;
        if (segment.length < segment.sent && way.pieces.held() == 0 && way.pieces.base() < end
                && way.pieces.base() >= at) {
            hole(way, end);
        }
    }

    private void deliver(Way way) {
        if (way.pieces.ready() > 0) {
            byte[] bytes = way.pieces.take();
            held -= bytes.length;
            say(way, bytes);
            settled(way);
        }
        if (way.pieces.held() > 0 && gaps.add(way)) {
            way.gapSince = now;
        }
    }

    private void settled(Way way) {
        gaps.remove(way);
        acked.remove(way);
        way.ackedSince = -1;
    }

    private void say(Way way, byte[] bytes) {
        long at = saidAt;
        words.add(out -> out.data(way.flow, way.isClient, bytes, at));
    }

    private void hole(Way way, long to) {
        long length = to - way.pieces.base();
        long at = now;
        way.pieces.pass(to);
        count("holes", 1);
        count("bytes missing", length);
        words.add(out -> out.hole(way.flow, way.isClient, length, at));
    }

    /** What is missing before the first run that is held will not come. */
    private void giveUp(Way way, String why) {
        count(why, 1);
        hole(way, way.pieces.firstRun());
        deliver(way);
    }

    private void expire() {
        while (!joining.isEmpty()) {
            Map.Entry<Ends, Joining> eldest = joining.entrySet().iterator().next();
            if (now - eldest.getValue().early.get(0).at < SHUFFLED) {
                break;
            }
            resolve(eldest.getKey(), eldest.getValue());
        }
        while (!blocked.isEmpty() && now - blocked.iterator().next().blockedSince >= SHUFFLED) {
            force(blocked.iterator().next());
        }
        while (!acked.isEmpty()) {
            Way way = acked.iterator().next();
            if (now - way.ackedSince < SHUFFLED) {
                break;
            }
            giveUp(way, "gaps that were acknowledged");
        }
        while (!gaps.isEmpty()) {
            Way way = gaps.iterator().next();
            if (now - way.gapSince < gapWait) {
                break;
            }
            giveUp(way, "gaps that waited too long");
        }
        Iterator<Map.Entry<Ends, Flow>> eldest = flows.entrySet().iterator();
        if (eldest.hasNext()) {
            Map.Entry<Ends, Flow> one = eldest.next();
            if (now - one.getValue().lastAt > silentFor) {
                close(one.getValue(), one.getKey(), End.SILENT);
            }
        }
    }

    private void close(Flow flow, Ends ends, End how) {
        flow.isOver = true;
        flows.remove(ends);
        while (!flow.up.blocked.isEmpty() || !flow.down.blocked.isEmpty()) {
            force(flow.up.blocked.isEmpty() ? flow.down : flow.up);
        }
        for (Way way : new Way[] {flow.up, flow.down}) {
            while (way.pieces.held() > 0) {
                giveUp(way, "gaps at the end");
            }
            settled(way);
            if (way.end > way.pieces.base()) {
                hole(way, way.end);
            }
        }
        long at = now;
        words.add(out -> out.closed(flow, how, at));
    }

    /** Nothing more comes: what is open ends here. */
    public void end() {
        for (Map.Entry<Ends, Joining> one : new ArrayList<>(joining.entrySet())) {
            resolve(one.getKey(), one.getValue());
        }
        for (Map.Entry<Ends, Flow> one : new ArrayList<>(flows.entrySet())) {
            close(one.getValue(), one.getKey(), End.CUT);
        }
    }

    /** Says one thing; false when there is nothing to say. */
    public boolean next(Out out) {
        Word word = words.poll();
        if (word == null) {
            return false;
        }
        word.say(out);
        return true;
    }
}
