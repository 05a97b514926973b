package honeygap.net.guests;

import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** All connections of one front: who may stay, who makes room, who has rested for too long. */
public final class Guests {

    /** One place over for so many that may stay. */
    private static final int OVER = 16;

    final Loop loop;
    private final int most;
    private final int crowd;
    private final long kept;
    private final ShutdownLog shutdownLog;
    private final Set<Guest> here = new LinkedHashSet<>();
    /** Longest idle first. */
    private final Set<Guest> idle = new LinkedHashSet<>();
    /** Those whose start, or the rest of whose message, is waited for; longest so first. */
    private final Set<Guest> waitedFor = new LinkedHashSet<>();
    private Loop.Timer sweep;
    /** Connections that are here, or that are closed once all has been written to them. */
    private int connected;
    private boolean leaving;
    private boolean isShuttingDown;
    private boolean drained;
    private long tooLong;
    private long madeRoom;
    private long crowded;
    private long full;

    /** Above a crowd idle ones go, most is the limit; one idle for so long, in tenths of a millisecond, goes. */
    public Guests(Loop loop, int most, int crowd, long kept, ShutdownLog shutdownLog) {
        this.loop = loop;
        this.shutdownLog = shutdownLog;
        this.most = most;
        this.crowd = crowd;
        this.kept = kept;
    }

    /**
     * At the limit whoever has been waited for longest makes room, or else has been idle longest. Guards
     * against turning down those that came in the same moment and have not been read: they ask at once again.
     */
    void came(Guest guest) {
        connected++;
        here.add(guest);
        waitedFor.add(guest);
        if (leaving) {
            closeAtLast(guest);
        }
        while (here.size() > most) {
            Guest longest = waitedFor.iterator().next();
            if (!longest.isLate() && !idle.isEmpty()) {
                // One that has just come goes last: its first RPC may be one that another close has crossed, and is not sent a third time.
                longest = longestIdle().orElse(idle.iterator().next());
            }
            if (longest == guest) {
                return;
            }
            madeRoom++;
            if (longest.isIdle()) {
                closeIdle(longest);
            } else {
                went(longest);
                longest.drop(longest.tooManyWord());
            }
        }
    }

    /** The one to close where some must: one that has been answered before one that has had time to ask and has not. */
    private Optional<Guest> longestIdle() {
        return idle.stream().filter(Guest::hasBeenServed).findFirst()
                .or(() -> idle.stream().filter(Guest::hadItsTurn).findFirst());
    }

    /** Between RPCs; it has left where it was closed, and is busy where its next RPC had come. */
    private void closeIdle(Guest guest) {
        idle.remove(guest);
        if (guest.closeIdle()) {
            went(guest);
        }
    }

    void noted(ShutdownEvent event, Guest guest) {
        shutdownLog.connection(event, guest.age());
    }

    /** A connection has gone. */
    void closed() {
        connected--;
    }

    void went(Guest guest) {
        here.remove(guest);
        idle.remove(guest);
        waitedFor.remove(guest);
    }

    void waitsFor(Guest guest, boolean waits) {
        if (waits && here.contains(guest)) {
            waitedFor.add(guest);
        } else {
            waitedFor.remove(guest);
        }
    }

    /** Whether the one that asks is one too many, or comes while nobody is taken; counted. */
    public boolean isFull() {
        boolean isFull = here.size() > most || drained;
        full += isFull ? 1 : 0;
        return isFull;
    }

    /** Takes nobody and closes connections between RPCs, or takes them again. */
    public void drain(boolean isDrained) {
        drained = isDrained;
        if (isDrained) {
            leave();
        } else if (!isShuttingDown) {
            leaving = false;
        }
    }

    /**
     * The process ends by this schedule: whatever is open when it should have been answered, a little after the rules had their say,
     * gets its last word.
     */
    public void shutDown(ShutdownSchedule schedule, long tick) {
        isShuttingDown = true;
        loop.at(schedule.answersBy() + 2 * tick, () -> loop.post(() -> new ArrayList<>(here).forEach(Guest::endsNow)));
    }

    void idle(Guest guest, boolean isIdle) {
        if (!isIdle || !here.contains(guest)) {
            idle.remove(guest);
        } else if (leaving) {
            closeAtLast(guest);
        } else if (idle.add(guest)) {
            guest.idleSince = loop.now();
            if (sweep == null) {
                sweep = loop.at(loop.now() + kept, this::closeIdle);
            }
            if (here.size() > crowd) {
                // Guards against clients that ask once a connection: they may open no more until some go. One that has
                // not asked yet is spared: its first RPC may be on its way, and may be one that another close has crossed.
                idle.stream().filter(Guest::hasBeenServed).findFirst().ifPresent(longest -> {
                    crowded++;
                    closeIdle(longest);
                });
            }
        }
    }

    /**
     * Guards against clients that ask once and stay: their connections would leave no place for others. Those
     * that ask again within the time are never among them.
     */
    private void closeIdle() {
        sweep = null;
        while (!idle.isEmpty()) {
            Guest longest = idle.iterator().next();
            if (longest.idleSince + kept > loop.now()) {
                sweep = loop.at(longest.idleSince + kept, this::closeIdle);
                return;
            }
            closeIdle(longest);
        }
    }

    /** Guards against closing a connection that has just come and whose first RPC is on its way. */
    private void closeAtLast(Guest guest) {
        if (guest.hadItsTurn()) {
            closeAtRest(guest);
        } else {
            loop.at(guest.hasItsTurnAt(), () -> closeAtRest(guest));
        }
    }

    /** One that has said nothing rests as well: its client is told by the close that nothing was taken. */
    private void closeAtRest(Guest guest) {
        if (leaving && here.contains(guest) && (guest.isIdle() || guest.isSilent())) {
            closeIdle(guest);
        }
    }

    void tooLong() {
        tooLong++;
    }

    public boolean isLeaving() {
        return leaving;
    }

    /** From now on connections are closed between RPCs. */
    public void leave() {
        leaving = true;
        idle.clear();
        new ArrayList<>(here).forEach(this::closeAtLast);
    }

    /** How many connections are in each stage. */
    public Map<String, Long> stages() {
        return here.stream().collect(Collectors.groupingBy(Guest::waitsFor, TreeMap::new, Collectors.counting()));
    }

    /** Connections, those included that are closed once all has been written to them. */
    public int count() {
        return connected;
    }

    /** So many are let in: a few more than may stay, so that whoever makes room can be told. */
    public int places() {
        return most + most / OVER + 1;
    }

    /** Tells the counters that concern connections. */
    public void report(Counters counters) {
        counters.count("here", here.size());
        counters.count("idle", idle.size());
        counters.count("too long", tooLong);
        counters.count("made room", madeRoom);
        counters.count("crowded", crowded);
        counters.count("full", full);
    }
}
