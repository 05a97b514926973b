package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks the record of a run for violations of the agent's rules. Every time limit includes the slack of the protocol
 * and the largest scheduling delay of the run's own threads, so that a busy machine causes no violation.
 */
final class SoakChecker {

    /** Time within which an agent stops sending to an appliance after its drain was delivered. */
    static final long DRAIN_GRACE_MS = 500;
    static final long EXPOSURE_WINDOW_MS = 2000;
    /** Slack of every time limit, for delays between the processes of a run. */
    private static final long SLACK_MS = 150;
    /** A list change counts as delivered this long after discovery was reachable, even if it was not written. */
    private static final long LIST_DELIVERY_MS = 6000;
    private static final long ANSWER_GRACE_MS = 500;
    private static final long DISCONNECT_GRACE_MS = 100;
    private static final long DEADLINE_SLACK_MS = 150;
    private static final double EXPOSURE_UNCOUNTED_REQUESTS = 1;
    private static final double EXPOSURE_SLACK_REQUESTS = 2;
    private static final double EXPOSURE_SLACK_FACTOR = 1.04;
    private static final long MAX_EXTRA_DESCRIPTORS = 8;
    private static final long MAX_EXTRA_THREADS = 4;
    private static final long MAX_MEMORY_KB = 192 * 1024;
    private static final long INCOMPLETE_REQUEST_TIMEOUT_MS = 3000;
    /** Pause that a process must tolerate during its shutdown without losing requests. */
    private static final long TOLERATED_PAUSE_MS = 150;

    private final SoakRecord record;
    private final long slackMs;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<String, List<SoakRecord.Arrival>> arrivalsById = new HashMap<>();

    private SoakChecker(SoakRecord record) {
        this.record = record;
        slackMs = SLACK_MS + record.latenessMs;
        for (SoakRecord.Arrival arrival : record.arrivals) {
            arrivalsById.computeIfAbsent(arrival.id(), id -> new ArrayList<>()).add(arrival);
        }
        arrivalsById.values().forEach(all -> all.sort(Comparator.comparingLong(SoakRecord.Arrival::at)));
    }

    /** Returns all violations, ordered by time. */
    static List<Violation> check(SoakRecord record) {
        SoakChecker checker = new SoakChecker(record);
        checker.checkAnswers();
        checker.checkCrashes();
        checker.checkEffects();
        checker.checkValues();
        checker.checkDrains();
        checker.checkExposure();
        checker.checkDisconnects();
        checker.checkForwardedDeadlines();
        checker.checkResourceUsage();
        checker.violations.sort(Comparator.comparingLong(Violation::atMs));
        return checker.violations;
    }

    private void addViolation(String rule, long atMs, String requestId, String description) {
        violations.add(new Violation(rule, atMs, requestId, description));
    }

    /** Milliseconds that the agent was paused between two times. */
    private long pausedMs(int agent, long from, long to) {
        return record.pauses.stream().filter(pause -> pause.agent() == agent)
                .mapToLong(pause -> Math.max(0, Math.min(to, pause.to()) - Math.max(from, pause.from()))).sum();
    }

    /** Whether a process of the agent was killed without prior SIGTERM between two times. */
    private boolean wasKilled(int agent, long from, long to) {
        return record.lifetimes.stream()
                .filter(lifetime -> lifetime.agent() == agent && lifetime.death() == SoakRecord.Death.KILLED)
                .anyMatch(lifetime -> lifetime.endedAt() >= from - slackMs && lifetime.endedAt() <= to + slackMs);
    }

    /**
     * Whether the shutdown of an agent process overlaps the given period and the process was paused during the shutdown
     * for longer than it must tolerate.
     */
    private boolean wasPausedDuringShutdown(int agent, long from, long to) {
        return record.lifetimes.stream()
                .filter(lifetime -> lifetime.agent() == agent && lifetime.signalledAt() <= to + slackMs
                        && lifetime.endedAt() >= from - slackMs)
                .anyMatch(lifetime -> pausedMs(agent, lifetime.signalledAt(), lifetime.endedAt()) > TOLERATED_PAUSE_MS);
    }

    private boolean isExcused(int agent, long from, long to) {
        return wasKilled(agent, from, to) || wasPausedDuringShutdown(agent, from, to);
    }

    /** Each request gets exactly one final answer, in time, unless its client disconnected. */
    private void checkAnswers() {
        Map<String, List<SoakRecord.Completion>> completions = record.completions.stream()
                .collect(Collectors.groupingBy(SoakRecord.Completion::id));
        for (SoakRecord.SentRequest sent : record.sent.values()) {
            if (!record.disconnects.containsKey(sent.id())) {
                checkAnswer(sent, completions.getOrDefault(sent.id(), List.of()));
            }
        }
    }

    private void checkAnswer(SoakRecord.SentRequest sent, List<SoakRecord.Completion> completions) {
        long dueAt = sent.at() + sent.timeoutMs() + ANSWER_GRACE_MS + slackMs;
        if (completions.size() > 1) {
            addViolation("answers", sent.at(), sent.id(), completions.size() + " final answers");
        }
        if (completions.size() > 1 || isExcused(sent.agent(), sent.at(), dueAt)) {
            return;
        }
        SoakRecord.Ending ending = completions.isEmpty() ? SoakRecord.Ending.UNANSWERED : completions.get(0).ending();
        if (ending == SoakRecord.Ending.UNANSWERED
                || ending == SoakRecord.Ending.CLOSED && wasReadByAgent(sent, Long.MAX_VALUE)) {
            addViolation("lost", sent.at(), sent.id(), "accepted and never answered, by agent " + sent.agent()
                    + timeline(sent));
        } else if (record.resends.containsKey(sent.id()) && wasReadByAgent(sent, record.resends.get(sent.id()).at())) {
            addViolation("lost", sent.at(), sent.id(), "accepted but its connection closed, by agent " + sent.agent()
                    + timeline(sent));
        } else if (ending != SoakRecord.Ending.CLOSED
                && completions.get(0).at() > dueAt + pausedMs(sent.agent(), sent.at(), completions.get(0).at())) {
            addViolation("lost", sent.at(), sent.id(), "answered " + (completions.get(0).at() - sent.at())
                    + " ms after it was sent" + timeline(sent));
        }
    }

    /**
     * Whether the agent had read the request before a time: it was forwarded, or the agent logged that it accepted it.
     */
    private boolean wasReadByAgent(SoakRecord.SentRequest sent, long before) {
        return arrivalsById.getOrDefault(sent.id(), List.of()).stream().anyMatch(arrival -> arrival.at() < before)
                || before == Long.MAX_VALUE && record.acceptedAfterSignal.contains(sent.id());
    }

    /** Timeline of a request for the description of a violation. */
    private String timeline(SoakRecord.SentRequest sent) {
        StringBuilder timeline = new StringBuilder("; sent at " + sent.at() + " ("
                + sent.method().label + ", " + sent.timeoutMs() + " ms)");
        record.lifetimes.stream().filter(lifetime -> lifetime.agent() == sent.agent() && lifetime.endedAt() >= sent.at()
                && lifetime.signalledAt() <= sent.at() + sent.timeoutMs()).findFirst().ifPresent(lifetime -> timeline
                        .append(", signal at ").append(lifetime.signalledAt()).append(", ")
                        .append(lifetime.death()).append(" at ").append(lifetime.endedAt()));
        arrivalsById.getOrDefault(sent.id(), List.of()).forEach(arrival -> timeline.append(", at appliance ")
                .append(arrival.appliance()).append(" at ").append(arrival.at()));
        SoakRecord.Resend resend = record.resends.get(sent.id());
        timeline.append(resend == null ? "" : ", resent at " + resend.at());
        return timeline.toString();
    }

    /** No process exits without a signal. */
    private void checkCrashes() {
        record.lifetimes.stream().filter(lifetime -> lifetime.death() == SoakRecord.Death.CRASHED).forEach(lifetime ->
                addViolation("crash", lifetime.endedAt(), "", "agent " + lifetime.agent()
                        + " exited without a signal"));
    }

    /**
     * No request takes effect twice: a non-idempotent one executes once, and a tokened one is repeated only within the
     * zone and time window in which appliances recognise its key.
     */
    private void checkEffects() {
        for (List<SoakRecord.Arrival> attempts : arrivalsById.values()) {
            SoakRecord.SentRequest sent = record.sent.get(attempts.get(0).id());
            List<SoakRecord.Arrival> executed = attempts.stream().filter(SoakRecord.Arrival::executed).toList();
            if (sent == null || sent.method() == SoakMethod.READ || attempts.size() < 2) {
                continue;
            }
            SoakRecord.Arrival firstExecuted = attempts.stream().filter(SoakRecord.Arrival::executed).findFirst()
                    .orElse(null);
            if (sent.method() == SoakMethod.ASSIGN && executed.size() > 1) {
                addViolation("duplicate", executed.get(1).at(), sent.id(), "executed at appliances " + executed.stream()
                        .map(SoakRecord.Arrival::appliance).toList());
            } else if (sent.method() == SoakMethod.BOOK && firstExecuted != null) {
                attempts.stream().filter(later -> later.at() > firstExecuted.at() && (later.zone() != firstExecuted.zone()
                        || later.at() > firstExecuted.at() + SoakMethod.TOKEN_WINDOW_MS + slackMs)).findFirst()
                        .ifPresent(later -> addViolation("duplicate", later.at(), sent.id(), "repeated at appliance "
                                + later.appliance() + " outside the group or window of " + firstExecuted.appliance()));
            }
        }
    }

    /** The served value is the one that an appliance produced for this request. */
    private void checkValues() {
        for (SoakRecord.Completion completion : record.completions) {
            if (completion.ending() == SoakRecord.Ending.SERVED && !completion.value().equals(completion.id())) {
                addViolation("value", completion.at(), completion.id(), "answered with the value of " + completion.value());
            }
        }
    }

    /**
     * Earliest time from which discovery could deliver a change made at the given time: the end of its outage, if any.
     */
    private long reachableAt(long at) {
        return record.outages.stream().filter(outage -> outage.from() <= at && at < outage.to())
                .mapToLong(SoakRecord.Outage::to).findFirst().orElse(at);
    }

    /** Time at which a change counts as delivered to an agent. */
    private long deliveredAt(int agent, SoakRecord.ListChange change) {
        long writtenAt = record.listDeliveries.stream()
                .filter(delivery -> delivery.agent() == agent && delivery.version() >= change.version())
                .mapToLong(SoakRecord.ListDelivery::at).min().orElse(Long.MAX_VALUE);
        return Math.min(writtenAt, reachableAt(change.at()) + LIST_DELIVERY_MS);
    }

    /** No request is sent to an appliance that drains or is deleted, after a grace period. */
    private void checkDrains() {
        Map<Integer, List<SoakRecord.ListChange>> changes = record.listChanges.stream()
                .sorted(Comparator.comparingLong(SoakRecord.ListChange::version))
                .collect(Collectors.groupingBy(SoakRecord.ListChange::appliance));
        for (SoakRecord.Arrival arrival : record.arrivals) {
            SoakRecord.SentRequest sent = record.sent.get(arrival.id());
            if (sent == null) {
                continue;
            }
            SoakRecord.ListChange effective = null;
            for (SoakRecord.ListChange change : changes.getOrDefault(arrival.appliance(), List.of())) {
                boolean isNotServing = change.state() != ApplianceState.SERVING;
                if (deliveredAt(sent.agent(), change) <= arrival.firstByteAt()
                        && !(isNotServing && isNotServing(effective))) {
                    effective = change;
                }
            }
            if (isNotServing(effective)) {
                long deliveredAt = deliveredAt(sent.agent(), effective);
                long lateMs = arrival.firstByteAt() - deliveredAt
                        - pausedMs(sent.agent(), deliveredAt, arrival.firstByteAt());
                if (lateMs > DRAIN_GRACE_MS + slackMs) {
                    addViolation("drain", arrival.at(), arrival.id(), "agent " + sent.agent() + " sent to appliance "
                            + arrival.appliance() + " " + lateMs + " ms after the delivery of version "
                            + effective.version() + ": " + effective.state());
                }
            }
        }
    }

    private static boolean isNotServing(SoakRecord.ListChange change) {
        return change != null && change.state() != ApplianceState.SERVING;
    }

    /** The share of requests sent to the build on trial stays within its cap in each window of each agent. */
    private void checkExposure() {
        Map<Integer, List<SoakRecord.Arrival>> trialArrivals = record.arrivals.stream()
                .filter(arrival -> arrival.build() == StandInDesk.TRIAL_BUILD && record.sent.containsKey(arrival.id()))
                .sorted(Comparator.comparingLong(SoakRecord.Arrival::at))
                .collect(Collectors.groupingBy(arrival -> record.sent.get(arrival.id()).agent()));
        trialArrivals.forEach((agent, arrivals) -> {
            long[] acceptedAt = record.sent.values().stream().filter(sent -> sent.agent() == agent)
                    .mapToLong(SoakRecord.SentRequest::at).sorted().toArray();
            for (int first = 0, last = 0; last < arrivals.size(); last++) {
                long to = arrivals.get(last).at();
                while (arrivals.get(first).at() <= to - EXPOSURE_WINDOW_MS) {
                    first++;
                }
                long inWindow = java.util.Arrays.stream(acceptedAt)
                        .filter(at -> at > to - EXPOSURE_WINDOW_MS - slackMs
                                - pausedMs(agent, to - 2 * EXPOSURE_WINDOW_MS, to)
                                && at <= to).count();
                double allowed = (EXPOSURE_UNCOUNTED_REQUESTS + StandInDesk.CAP * inWindow) * EXPOSURE_SLACK_FACTOR
                        + EXPOSURE_SLACK_REQUESTS;
                if (last - first + 1 > allowed && !wasKilled(agent, to - EXPOSURE_WINDOW_MS, to)) {
                    addViolation("exposure", to, arrivals.get(last).id(), "agent " + agent + " sent " + (last - first + 1)
                            + " of " + inWindow + " requests in a window to the build on trial");
                    return;
                }
            }
        });
    }

    /** No attempt starts after the client has disconnected. */
    private void checkDisconnects() {
        for (SoakRecord.Disconnect disconnect : record.disconnects.values()) {
            // A client that comes again with the id wants what is sent from then on.
            SoakRecord.Resend resend = record.resends.get(disconnect.id());
            long cameAgainAt = resend == null ? Long.MAX_VALUE : resend.at();
            for (SoakRecord.Arrival arrival : arrivalsById.getOrDefault(disconnect.id(), List.of())) {
                if (arrival.firstByteAt() >= cameAgainAt) {
                    continue;
                }
                long lateMs = arrival.firstByteAt() - disconnect.at()
                        - pausedMs(record.sent.get(disconnect.id()).agent(), disconnect.at() - DISCONNECT_GRACE_MS,
                                arrival.firstByteAt());
                if (lateMs > DISCONNECT_GRACE_MS + slackMs) {
                    addViolation("left", arrival.at(), disconnect.id(), "sent to appliance "
                            + arrival.appliance() + " " + lateMs + " ms after its client disconnected");
                }
            }
        }
    }

    /** The timeout forwarded with an attempt does not exceed the remaining time of its client. */
    private void checkForwardedDeadlines() {
        for (SoakRecord.Arrival arrival : record.arrivals) {
            SoakRecord.SentRequest sent = record.sent.get(arrival.id());
            if (sent == null) {
                continue;
            }
            // A resent request does not carry the time at which it was first sent.
            SoakRecord.Resend resend = record.resends.get(sent.id());
            long sentAt = resend != null && resend.at() <= arrival.at() ? resend.at() : sent.at();
            long remainingMs = sentAt + sent.timeoutMs() - arrival.firstByteAt();
            long excessMs = arrival.timeoutMs() - Math.max(0, remainingMs)
                    - pausedMs(sent.agent(), sent.at(), arrival.firstByteAt());
            if (excessMs > DEADLINE_SLACK_MS + slackMs) {
                addViolation("deadline", arrival.at(), arrival.id(), "appliance " + arrival.appliance() + " got a timeout of "
                        + arrival.timeoutMs() + " ms, remaining " + remainingMs);
            }
        }
    }

    /** Memory stays below its limit, and descriptors and threads return to about their counts at the start. */
    private void checkResourceUsage() {
        Map<Long, List<SoakRecord.ResourceUsage>> byProcess = record.resourceUsage.stream()
                .collect(Collectors.groupingBy(SoakRecord.ResourceUsage::pid));
        for (List<SoakRecord.ResourceUsage> measurements : byProcess.values()) {
            SoakRecord.ResourceUsage first = measurements.get(0);
            SoakRecord.ResourceUsage last = measurements.get(measurements.size() - 1);
            if (last.memoryKb() > MAX_MEMORY_KB) {
                addViolation("memory", Long.MAX_VALUE, "", "agent " + last.agent() + " uses " + last.memoryKb() + " KB");
            }
            if (measurements.size() > 1 && (last.descriptors() > first.descriptors() + MAX_EXTRA_DESCRIPTORS
                    || last.threads() > first.threads() + MAX_EXTRA_THREADS)) {
                addViolation("holdings", Long.MAX_VALUE, "", "agent " + last.agent() + " holds " + last.descriptors()
                        + " descriptors and " + last.threads() + " threads; at the start " + first.descriptors() + " and "
                        + first.threads() + " respectively");
            }
        }
    }

    /** Checks that a connection with an incomplete request is closed within the timeout. */
    static List<Violation> checkIncompleteRequest(SoakRecord record, int agent, long waitedMs, long at) {
        SoakChecker checker = new SoakChecker(record);
        return waitedMs <= INCOMPLETE_REQUEST_TIMEOUT_MS + checker.slackMs
                + checker.pausedMs(agent, at - waitedMs, at) ? List.of()
                : List.of(new Violation("incomplete request", at, "", "agent " + agent
                        + " kept its connection open for " + waitedMs + " ms"));
    }
}
