package honeygap.lab.soak;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Observations made during a run by clients, stand-ins and the run itself, plus the requests that agents logged as
 * accepted after SIGTERM. All times are milliseconds of one monotonic clock.
 */
final class SoakRecord {

    /** Result of a request as its client saw it. */
    enum Ending {
        SERVED, REFUSED, FAILED, UNANSWERED,
        /**
         * The connection was closed and no resend was possible; counts as not accepted unless it was seen elsewhere.
         */
        CLOSED
    }

    /** A request as its client first sent it. */
    record SentRequest(String id, int agent, SoakMethod method, long at, long timeoutMs) {

        /** Copy for a pipelined request, whose time counts from the answer to the request before it. */
        SentRequest withSentAt(long later) {
            return new SentRequest(id, agent, method, later, timeoutMs);
        }
    }

    record Completion(String id, Ending ending, long at, String value) { }

    /** A request was sent once more on a new connection, after the first one was closed without an answer. */
    record Resend(String id, long at) { }

    /** A client closed its connection before the request was answered. */
    record Disconnect(String id, long at) { }

    /** Arrival of a request at an appliance; {@code restarts} tells the processes of one appliance apart. */
    record Arrival(String id, int appliance, int restarts, int build, int zone, long firstByteAt, long at,
                   long timeoutMs, boolean executed) { }

    /** A change of the list in discovery. */
    record ListChange(long version, int appliance, ApplianceState state, long at) { }

    /** Discovery wrote all changes up to this version to an agent. */
    record ListDelivery(int agent, long version, long at) { }

    /** Discovery wrote changes or a heartbeat to the watch of an agent. */
    record ListConfirmation(int agent, long at) { }

    /** How an agent process ended. */
    enum Death {
        /** By SIGKILL without prior SIGTERM. */
        KILLED,
        /** Exited by itself after SIGTERM. */
        ENDED,
        /** By SIGKILL after SIGTERM, at the earliest time allowed. */
        KILLED_AFTER_SIGNAL,
        /** Exited without a signal. */
        CRASHED
    }

    /** Start and end of a process, and the time of its SIGTERM or Long.MAX_VALUE. */
    record ProcessLifetime(int agent, long startedAt, long signalledAt, long endedAt, Death death) { }

    /** Period in which a process was paused by SIGSTOP. */
    record ProcessPause(int agent, long from, long to) { }

    /** Period in which discovery was unreachable. */
    record Outage(long from, long to) { }

    /** Resource usage of a process while there is no load. */
    record ResourceUsage(int agent, long pid, String phase, long descriptors, long threads, long memoryKb) { }

    final Map<String, SentRequest> sent = new ConcurrentHashMap<>();
    final Collection<Completion> completions = new ConcurrentLinkedQueue<>();
    final Map<String, Resend> resends = new ConcurrentHashMap<>();
    /** Ids of requests that an agent logged as accepted after SIGTERM. */
    final Collection<String> acceptedAfterSignal = ConcurrentHashMap.newKeySet();
    final Map<String, Disconnect> disconnects = new ConcurrentHashMap<>();
    final Collection<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Collection<ListChange> listChanges = new ConcurrentLinkedQueue<>();
    final Collection<ListDelivery> listDeliveries = new ConcurrentLinkedQueue<>();
    final Collection<ListConfirmation> listConfirmations = new ConcurrentLinkedQueue<>();
    final Collection<ProcessLifetime> lifetimes = new ConcurrentLinkedQueue<>();
    final Collection<ProcessPause> pauses = new ConcurrentLinkedQueue<>();
    final Collection<Outage> outages = new ConcurrentLinkedQueue<>();
    final Collection<ResourceUsage> resourceUsage = new ConcurrentLinkedQueue<>();
    /** Largest scheduling delay of the run's own threads; measured times may be late by as much. */
    volatile long latenessMs;

    private final long startNs = System.nanoTime();

    long now() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }
}
