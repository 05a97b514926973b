package honeygap.lab.soak;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What was seen in a run, by everybody but the agents. All times are milliseconds of one monotonic clock. */
final class SoakRecord {

    /** How a client's request ended for it. */
    enum Ending {
        SERVED, REFUSED, FAILED, UNANSWERED,
        /** Its connection was closed, and nobody was there to send it to once more: not taken, unless somebody saw it. */
        CLOSED
    }

    /** A request as its client sent it; the second sending is on a new connection, where the first was closed unanswered. */
    record SentRequest(String id, int agent, SoakMethod method, long at, long timeoutMs) {

        /** Behind another request on its connection: its time counts from that one's answer. */
        SentRequest withSentAt(long later) {
            return new SentRequest(id, agent, method, later, timeoutMs);
        }
    }

    record Completion(String id, Ending ending, long at, String value) { }

    /** Its connection was closed with no answer, and it was sent once more on a new one. */
    record Resend(String id, long at) { }

    /** A client has closed its connection under a request. */
    record Disconnect(String id, long at) { }

    /** A request as it came to an appliance's process. */
    record Arrival(String id, int appliance, int restarts, int build, int zone, long firstByteAt, long at, long timeoutMs,
                   boolean executed) { }

    /** Discovery's list has changed. */
    record ListChange(long version, int appliance, ApplianceState state, long at) { }

    /** Discovery has written all changes up to this version to an agent. */
    record ListDelivery(int agent, long version, long at) { }

    /** How a process ended. */
    enum Death {
        /** SIGKILL without a word before. */
        KILLED,
        /** By itself after SIGTERM. */
        ENDED,
        /** SIGKILL, at the earliest after SIGTERM. */
        KILLED_AFTER_SIGNAL,
        /** Before it was told to. */
        CRASHED
    }

    /** From the start of a process to its end; when it was told to end, Long.MAX_VALUE where it was not. */
    record ProcessLifetime(int agent, long from, long signalledAt, long to, Death death) { }

    /** A process stood still, by a signal. */
    record ProcessPause(int agent, long from, long to) { }

    /** Discovery could not be reached. */
    record Outage(long from, long to) { }

    /** What a process held when nothing was going on. */
    record ResourceUsage(int agent, long pid, String phase, long descriptors, long threads, long memoryKb) { }

    final Map<String, SentRequest> sent = new ConcurrentHashMap<>();
    final Collection<Completion> completions = new ConcurrentLinkedQueue<>();
    final Map<String, Resend> resends = new ConcurrentHashMap<>();
    /** Requests that an agent's log says it took on after its signal to end. */
    final Collection<String> acceptedAfterSignal = ConcurrentHashMap.newKeySet();
    final Map<String, Disconnect> disconnects = new ConcurrentHashMap<>();
    final Collection<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    final Collection<ListChange> listChanges = new ConcurrentLinkedQueue<>();
    final Collection<ListDelivery> listDeliveries = new ConcurrentLinkedQueue<>();
    final Collection<ProcessLifetime> lifetimes = new ConcurrentLinkedQueue<>();
    final Collection<ProcessPause> pauses = new ConcurrentLinkedQueue<>();
    final Collection<Outage> outages = new ConcurrentLinkedQueue<>();
    final Collection<ResourceUsage> resourceUsage = new ConcurrentLinkedQueue<>();
    /** How late the run's own threads were at the most: what is measured may be late by as much. */
    volatile long latenessMs;

    private final long startNs = System.nanoTime();

    long now() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }
}
