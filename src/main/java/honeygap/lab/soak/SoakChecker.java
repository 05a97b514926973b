package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Goes through the record of a run for broken rules. Every limit has the protocol's slack, and is longer by how late the
 * run's own threads were, so that a busy machine breaks no rule.
 */
final class SoakChecker {

    static final long DRAIN_GRACE_MS = 500;
    static final long EXPOSURE_WINDOW_MS = 2000;
    private static final long SLACK_MS = 150;
    /** Whatever discovery has to tell counts as told so long after it could be reached. */
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
    /** A process must bear to be held up for so long. */
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

    /** All that is broken, in the order of time. */
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

    /** Milliseconds that the agent stood still between these two. */
    private long pausedMs(int agent, long from, long to) {
        return record.pauses.stream().filter(pause -> pause.agent() == agent)
                .mapToLong(pause -> Math.max(0, Math.min(to, pause.to()) - Math.max(from, pause.from()))).sum();
    }

    /** Whether a process of the agent was killed without a word before, or there was none, at some moment between these two. */
    private boolean wasKilled(int agent, long from, long to) {
        return record.lifetimes.stream().filter(life -> life.agent() == agent && life.death() == SoakRecord.Death.KILLED)
                .anyMatch(life -> life.to() >= from - slackMs && life.to() <= to + slackMs);
    }

    /**
     * Whether a process of the agent stood still, for longer than any must bear, between its signal to end and its end, at some moment
     * between these two.
     */
    private boolean wasPausedDuringShutdown(int agent, long from, long to) {
        return record.lifetimes.stream()
                .filter(life -> life.agent() == agent && life.signalledAt() <= to + slackMs && life.to() >= from - slackMs)
                .anyMatch(life -> pausedMs(agent, life.signalledAt(), life.to()) > TOLERATED_PAUSE_MS);
    }

    private boolean isExcused(int agent, long from, long to) {
        return wasKilled(agent, from, to) || wasPausedDuringShutdown(agent, from, to);
    }

    /** Exactly one final answer, in time. */
    private void checkAnswers() {
        Map<String, List<SoakRecord.Completion>> completions = record.completions.stream().collect(Collectors.groupingBy(SoakRecord.Completion::id));
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
        if (ending == SoakRecord.Ending.UNANSWERED || ending == SoakRecord.Ending.CLOSED && wasReadByAgent(sent, Long.MAX_VALUE)) {
            addViolation("lost", sent.at(), sent.id(), "taken and never answered, by agent " + sent.agent() + timeline(sent));
        } else if (record.resends.containsKey(sent.id()) && wasReadByAgent(sent, record.resends.get(sent.id()).at())) {
            addViolation("lost", sent.at(), sent.id(), "taken and its connection closed, by agent " + sent.agent() + timeline(sent));
        } else if (ending != SoakRecord.Ending.CLOSED && completions.get(0).at() > dueAt + pausedMs(sent.agent(), sent.at(), completions.get(0).at())) {
            addViolation("lost", sent.at(), sent.id(), "answered " + (completions.get(0).at() - sent.at()) + " ms after it was sent" + timeline(sent));
        }
    }

    /** Whether the agent had read it by then: it was forwarded, or the log says so. */
    private boolean wasReadByAgent(SoakRecord.SentRequest sent, long before) {
        return arrivalsById.getOrDefault(sent.id(), List.of()).stream().anyMatch(arrival -> arrival.at() < before)
                || before == Long.MAX_VALUE && record.acceptedAfterSignal.contains(sent.id());
    }

    /** The way of a request, for whoever looks for what broke. */
    private String timeline(SoakRecord.SentRequest sent) {
        StringBuilder timeline = new StringBuilder("; sent at " + sent.at() + " (" + sent.method().label + ", " + sent.timeoutMs() + " ms)");
        record.lifetimes.stream().filter(life -> life.agent() == sent.agent() && life.to() >= sent.at()
                && life.signalledAt() <= sent.at() + sent.timeoutMs()).findFirst().ifPresent(life -> timeline.append(", signal at ")
                        .append(life.signalledAt()).append(", ").append(life.death()).append(" at ").append(life.to()));
        arrivalsById.getOrDefault(sent.id(), List.of()).forEach(arrival -> timeline.append(", at appliance ")
                .append(arrival.appliance()).append(" at ").append(arrival.at()));
        SoakRecord.Resend resend = record.resends.get(sent.id());
        timeline.append(resend == null ? "" : ", sent again at " + resend.at());
        return timeline.toString();
    }

    /** No process ends before it is told to. */
    private void checkCrashes() {
        record.lifetimes.stream().filter(life -> life.death() == SoakRecord.Death.CRASHED).forEach(life ->
                addViolation("crash", life.to(), "", "agent " + life.agent() + " ended before it was told to"));
    }

    /** No effect twice. */
    private void checkEffects() {
        for (List<SoakRecord.Arrival> attempts : arrivalsById.values()) {
            SoakRecord.SentRequest sent = record.sent.get(attempts.get(0).id());
            List<SoakRecord.Arrival> executed = attempts.stream().filter(SoakRecord.Arrival::executed).toList();
            if (sent == null || sent.method() == SoakMethod.READ || attempts.size() < 2) {
                continue;
            }
            SoakRecord.Arrival firstExecuted = attempts.stream().filter(SoakRecord.Arrival::executed).findFirst().orElse(null);
            if (sent.method() == SoakMethod.ASSIGN && executed.size() > 1) {
                addViolation("duplicate", executed.get(1).at(), sent.id(), "ran at appliances " + executed.stream()
                        .map(SoakRecord.Arrival::appliance).toList());
            } else if (sent.method() == SoakMethod.BOOK && firstExecuted != null) {
                attempts.stream().filter(later -> later.at() > firstExecuted.at() && (later.zone() != firstExecuted.zone()
                        || later.at() > firstExecuted.at() + SoakMethod.TOKEN_WINDOW_MS + slackMs)).findFirst()
                        .ifPresent(later -> addViolation("duplicate", later.at(), sent.id(), "repeated at appliance "
                                + later.appliance() + " outside the group or window of " + firstExecuted.appliance()));
            }
        }
    }

    /** What was served is what an appliance made for this request. */
    private void checkValues() {
        for (SoakRecord.Completion completion : record.completions) {
            if (completion.ending() == SoakRecord.Ending.SERVED && !completion.value().equals(completion.id())) {
                addViolation("value", completion.at(), completion.id(), "answered with the value of " + completion.value());
            }
        }
    }

    /** From when a change could be heard of by anybody. */
    private long reachableAt(long at) {
        return record.outages.stream().filter(outage -> outage.from() <= at && at < outage.to())
                .mapToLong(SoakRecord.Outage::to).findFirst().orElse(at);
    }

    /** When a change counts as told to an agent. */
    private long deliveredAt(int agent, SoakRecord.ListChange change) {
        long writtenAt = record.listDeliveries.stream().filter(delivery -> delivery.agent() == agent && delivery.version() >= change.version())
                .mapToLong(SoakRecord.ListDelivery::at).min().orElse(Long.MAX_VALUE);
        return Math.min(writtenAt, reachableAt(change.at()) + LIST_DELIVERY_MS);
    }

    /** Nothing new to an appliance that drains or is gone, past its grace. */
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
                if (deliveredAt(sent.agent(), change) <= arrival.firstByteAt() && !(isNotServing && isNotServing(effective))) {
                    effective = change;
                }
            }
            if (isNotServing(effective)) {
                long deliveredAt = deliveredAt(sent.agent(), effective);
                long lateMs = arrival.firstByteAt() - deliveredAt - pausedMs(sent.agent(), deliveredAt, arrival.firstByteAt());
                if (lateMs > DRAIN_GRACE_MS + slackMs) {
                    addViolation("drain", arrival.at(), arrival.id(), "agent " + sent.agent() + " sent to appliance "
                            + arrival.appliance() + " " + lateMs + " ms after it counted as told of version "
                            + effective.version() + ": " + effective.state());
                }
            }
        }
    }

    private static boolean isNotServing(SoakRecord.ListChange change) {
        return change != null && change.state() != ApplianceState.SERVING;
    }

    /** Requests at the build on trial, in any window and for each life of an agent. */
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
                        .filter(at -> at > to - EXPOSURE_WINDOW_MS - slackMs - pausedMs(agent, to - 2 * EXPOSURE_WINDOW_MS, to)
                                && at <= to).count();
                double allowed = (EXPOSURE_UNCOUNTED_REQUESTS + StandInDesk.CAP * inWindow) * EXPOSURE_SLACK_FACTOR + EXPOSURE_SLACK_REQUESTS;
                if (last - first + 1 > allowed && !wasKilled(agent, to - EXPOSURE_WINDOW_MS, to)) {
                    addViolation("exposure", to, arrivals.get(last).id(), "agent " + agent + " sent " + (last - first + 1)
                            + " of " + inWindow + " taken in a window to the build on trial");
                    return;
                }
            }
        });
    }

    /** No attempt begins for a client that has gone. */
    private void checkDisconnects() {
        for (SoakRecord.Disconnect disconnect : record.disconnects.values()) {
            for (SoakRecord.Arrival arrival : arrivalsById.getOrDefault(disconnect.id(), List.of())) {
                long lateMs = arrival.firstByteAt() - disconnect.at()
                        - pausedMs(record.sent.get(disconnect.id()).agent(), disconnect.at() - DISCONNECT_GRACE_MS, arrival.firstByteAt());
                if (lateMs > DISCONNECT_GRACE_MS + slackMs) {
                    addViolation("left", arrival.at(), disconnect.id(), "sent to appliance " + arrival.appliance() + " " + lateMs
                            + " ms after its client had gone");
                }
            }
        }
    }

    /** An attempt is told no more time than is left to its client. */
    private void checkForwardedDeadlines() {
        for (SoakRecord.Arrival arrival : record.arrivals) {
            SoakRecord.SentRequest sent = record.sent.get(arrival.id());
            if (sent == null) {
                continue;
            }
            // Nothing in a request that is sent again tells when it was sent at first.
            SoakRecord.Resend resend = record.resends.get(sent.id());
            long sentAt = resend != null && resend.at() <= arrival.at() ? resend.at() : sent.at();
            long remainingMs = sentAt + sent.timeoutMs() - arrival.firstByteAt();
            long excessMs = arrival.timeoutMs() - Math.max(0, remainingMs)
                    - pausedMs(sent.agent(), sent.at(), arrival.firstByteAt());
            if (excessMs > DEADLINE_SLACK_MS + slackMs) {
                addViolation("time told", arrival.at(), arrival.id(), "appliance " + arrival.appliance() + " was told "
                        + arrival.timeoutMs() + " ms of " + remainingMs);
            }
        }
    }

    /** Memory, descriptors and threads are those of the start again. */
    private void checkResourceUsage() {
        Map<Long, List<SoakRecord.ResourceUsage>> byProcess = record.resourceUsage.stream()
                .collect(Collectors.groupingBy(SoakRecord.ResourceUsage::pid));
        for (List<SoakRecord.ResourceUsage> measurements : byProcess.values()) {
            SoakRecord.ResourceUsage first = measurements.get(0);
            SoakRecord.ResourceUsage last = measurements.get(measurements.size() - 1);
            if (last.memoryKb() > MAX_MEMORY_KB) {
                addViolation("memory", Long.MAX_VALUE, "", "agent " + last.agent() + " holds " + last.memoryKb() + " KB");
            }
            if (measurements.size() > 1 && (last.descriptors() > first.descriptors() + MAX_EXTRA_DESCRIPTORS
                    || last.threads() > first.threads() + MAX_EXTRA_THREADS)) {
                addViolation("holdings", Long.MAX_VALUE, "", "agent " + last.agent() + " holds " + last.descriptors()
                        + " descriptors and " + last.threads() + " threads, " + first.descriptors() + " and "
                        + first.threads() + " at first");
            }
        }
    }

    /** What a client that stops in the middle of a request is owed. */
    static List<Violation> checkIncompleteRequest(SoakRecord record, int agent, long waitedMs, long at) {
        SoakChecker checker = new SoakChecker(record);
        return waitedMs <= INCOMPLETE_REQUEST_TIMEOUT_MS + checker.slackMs + checker.pausedMs(agent, at - waitedMs, at) ? List.of()
                : List.of(new Violation("half request", at, "", "agent " + agent + " kept it for " + waitedMs + " ms"));
    }
}
