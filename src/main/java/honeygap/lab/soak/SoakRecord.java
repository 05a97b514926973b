package honeygap.lab.soak;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What was seen in a run, by everybody but the agents. All times are milliseconds of one monotonic clock. */
final class SoakRecord {

    /** How a client's request ended for it. */
    enum Ending { SERVED, REFUSED, FAILED, UNANSWERED }

    /** A request as its client sent it; the second sending is on a new connection, where the first was closed unanswered. */
    record Sent(String id, int agent, SoakMethod method, long at, long timeMs) { }

    record Ended(String id, Ending ending, long at, String value) { }

    /** A client has closed its connection under a request. */
    record Left(String id, long at) { }

    /** A request as it came to an appliance's process. */
    record Arrival(String id, int appliance, int life, int build, int zone, long firstByteAt, long at, long timeToldMs,
                   boolean ran) { }

    /** Discovery's list has changed. */
    record Change(long version, int appliance, ApplianceState state, long at) { }

    /** Discovery has written all changes up to this version to an agent. */
    record Told(int agent, long version, long at) { }

    /** From the start of a process to its end; how it ended. */
    record Life(int agent, long from, long to, boolean wasKilled) { }

    /** A process stood still, by a signal. */
    record Standstill(int agent, long from, long to) { }

    /** Discovery could not be reached. */
    record Outage(long from, long to) { }

    /** What a process held when nothing was going on. */
    record Holdings(int agent, long pid, String when, long descriptors, long threads, long memoryKb) { }

    final Map<String, Sent> sent = new ConcurrentHashMap<>();
    final Collection<Ended> ended = new ConcurrentLinkedQueue<>();
    final Map<String, Left> left = new ConcurrentHashMap<>();
    final Collection<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Collection<Change> changes = new ConcurrentLinkedQueue<>();
    final Collection<Told> told = new ConcurrentLinkedQueue<>();
    final Collection<Life> lives = new ConcurrentLinkedQueue<>();
    final Collection<Standstill> standstills = new ConcurrentLinkedQueue<>();
    final Collection<Outage> outages = new ConcurrentLinkedQueue<>();
    final Collection<Holdings> holdings = new ConcurrentLinkedQueue<>();
    /** How late the run's own threads were at the most: what is measured may be late by as much. */
    volatile long latenessMs;

    private final long zero = System.nanoTime();

    long now() {
        return (System.nanoTime() - zero) / 1_000_000;
    }
}
