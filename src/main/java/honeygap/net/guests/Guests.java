package honeygap.net.guests;

import honeygap.net.Counters;
import honeygap.net.Loop;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/** All connections of one front: who may stay, who makes room, who has rested for too long. */
public final class Guests {

    final Loop loop;
    private final int most;
    private final int crowd;
    private final long kept;
    private final Set<Guest> here = new LinkedHashSet<>();
    /** Longest idle first. */
    private final Set<Guest> idle = new LinkedHashSet<>();
    /** Those whose start, or the rest of whose message, is waited for; longest so first. */
    private final Set<Guest> waitedFor = new LinkedHashSet<>();
    private Loop.Timer sweep;
    private boolean leaving;
    private boolean drained;
    private long tooLong;
    private long madeRoom;
    private long crowded;
    private long full;

    /** Above a crowd idle ones go, most is the limit; one idle for so long, in tenths of a millisecond, goes. */
    public Guests(Loop loop, int most, int crowd, long kept) {
        this.loop = loop;
        this.most = most;
        this.crowd = crowd;
        this.kept = kept;
    }

    /**
     * At the limit whoever has been waited for longest makes room, or else has been idle longest. Guards
     * against turning down those that came in the same moment and have not been read: they ask at once again.
     */
    void came(Guest guest) {
        here.add(guest);
        waitedFor.add(guest);
        if (here.size() <= most) {
            return;
        }
        Guest longest = waitedFor.iterator().next();
        if (!longest.isLate() && !idle.isEmpty()) {
            longest = idle.iterator().next();
        }
        if (longest != guest) {
            madeRoom++;
            went(longest);
            if (longest.isIdle()) {
                longest.close();
            } else {
                longest.drop(longest.tooManyWord());
            }
        }
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
        } else {
            leaving = false;
        }
    }

    void idle(Guest guest, boolean isIdle) {
        if (!isIdle || !here.contains(guest)) {
            idle.remove(guest);
        } else if (leaving) {
            guest.close();
        } else if (idle.add(guest)) {
            guest.idleSince = loop.now();
            if (sweep == null) {
                sweep = loop.at(loop.now() + kept, this::closeIdle);
            }
            if (here.size() > crowd) {
                // Guards against clients that ask once a connection: they may open no more until some go.
                Guest longest = idle.iterator().next();
                crowded++;
                went(longest);
                longest.close();
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
            idle.remove(longest);
            longest.close();
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
        for (Guest guest : new ArrayList<>(idle)) {
            guest.close();
        }
        idle.clear();
    }

    public int count() {
        return here.size();
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
