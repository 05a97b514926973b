package honeygap.lab.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Executes a plan: starts all processes, runs clients and faults, ends the processes, and checks the record. */
final class SoakRun implements AutoCloseable {

    /** Outcome of a run. */
    record Outcome(SoakPlan plan, List<Violation> violations, long requests, long served, long refused, ListedShare listed, long latenessMs,
            long signalled, long exitedByThemselves) {

        boolean hasViolations() {
            return !violations.isEmpty();
        }
    }

    private static final int ZONES = 3;
    private static final long DRAIN_MS = 1500;
    private static final long APPLIANCE_DOWN_MS = 1000;
    private static final long AGENT_DOWN_MS = 700;
    private static final long HOUR_S = 3600;
    private static final long QUIET_MS = 4000;
    private static final int CONCURRENT_STARTS = 8;
    private static final long TICK_MS = 10;
    /** One system call in this many fails in an agent. */
    private static final int CALLS_PER_FAULT = 400;
    private static final long MAX_AGENTS = 1 << 20;

    private final SoakPlan plan;
    private final SoakRecord record = new SoakRecord();
    private final List<StandInAppliance> appliances = new ArrayList<>();
    private final List<SoakAgent> agents = new ArrayList<>();
    private final StandInDiscovery discovery;
    private final StandInDesk desk;
    private final SystemCallFaults systemFaults;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, SoakRun::daemon);
    private final ExecutorService workers = Executors.newCachedThreadPool(SoakRun::daemon);
    private final ConcurrentLinkedQueue<Violation> incompleteRequestViolations = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();

    SoakRun(SoakPlan plan, Path folder) throws IOException, InterruptedException {
        this.plan = plan;
        discovery = new StandInDiscovery(plan.agents(), record);
        desk = new StandInDesk();
        systemFaults = new SystemCallFaults(folder, CALLS_PER_FAULT);
        for (int i = 0; i < plan.appliances(); i++) {
            int build = SoakPlan.isOfTrialBuild(i) ? StandInDesk.TRIAL_BUILD : StandInDesk.EARLIER_BUILD;
            StandInAppliance appliance = new StandInAppliance(i, i % ZONES, build, record);
            appliances.add(appliance);
            discovery.addInitial(appliance);
        }
        for (int i = 0; i < plan.agents(); i++) {
            int number = i;
            agents.add(new SoakAgent(i, plan.agents(), folder.resolve("agent" + i), record, systemFaults,
                    () -> discovery.lastDeliveredList(number), discovery.port(i), desk.port(), plan.load()));
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "soak", 1 << 18);
        thread.setDaemon(true);
        return thread;
    }

    /** Executes the plan and returns its outcome. */
    Outcome run() throws InterruptedException, IOException {
        startAgents();
        measureLateness();
        TimeUnit.MILLISECONDS.sleep(QUIET_MS / 2);
        recordResourceUsage("start");
        long loadStart = record.now();
        for (PlannedFault fault : plan.faults()) {
            timers.schedule(() -> workers.submit(() -> injectSafely(fault)),
                    fault.atMs(), TimeUnit.MILLISECONDS);
        }
        for (PlannedFlood flood : plan.floods()) {
            timers.schedule(() -> startFlood(flood), flood.atMs(), TimeUnit.MILLISECONDS);
        }
        runClients(loadStart + plan.loadMs());
        discovery.setDown(false);
        TimeUnit.MILLISECONDS.sleep(QUIET_MS);
        recordResourceUsage("end");
        for (SoakAgent agent : agents) {
            agent.close();
        }
        List<Violation> violations = new ArrayList<>(SoakChecker.check(record));
        violations.addAll(incompleteRequestViolations);
        failures.forEach(failure -> violations.add(new Violation("run", 0, "", failure)));
        Collections.sort(violations, java.util.Comparator.comparingLong(Violation::atMs));
        return new Outcome(plan, violations, record.sent.size(), countCompletions(SoakRecord.Ending.SERVED),
                countCompletions(SoakRecord.Ending.REFUSED), ListedShare.of(record), record.latenessMs,
                countDeaths(SoakRecord.Death.ENDED) + countDeaths(SoakRecord.Death.KILLED_AFTER_SIGNAL),
                countDeaths(SoakRecord.Death.ENDED));
    }

    SoakRecord record() {
        return record;
    }

    private long countCompletions(SoakRecord.Ending ending) {
        return record.completions.stream().filter(completion -> completion.ending() == ending).count();
    }

    private long countDeaths(SoakRecord.Death death) {
        return record.lifetimes.stream().filter(lifetime -> lifetime.death() == death).count();
    }

    private void startAgents() throws InterruptedException, IOException {
        ExecutorService starters = Executors.newFixedThreadPool(CONCURRENT_STARTS, SoakRun::daemon);
        List<Future<?>> starts = new ArrayList<>();
        for (SoakAgent agent : agents) {
            starts.add(starters.submit(() -> {
                agent.start();
                return null;
            }));
        }
        try {
            for (Future<?> start : starts) {
                start.get();
            }
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            starters.shutdown();
        }
    }

    /** Measures how late a timer of this JVM fires; on a busy machine measured times are late by as much. */
    private void measureLateness() {
        long[] lastTickAt = {record.now()};
        timers.scheduleAtFixedRate(() -> {
            long now = record.now();
            record.latenessMs = Math.max(record.latenessMs, now - lastTickAt[0] - TICK_MS);
            lastTickAt[0] = now;
        }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void recordResourceUsage(String phase) {
        for (SoakAgent agent : agents) {
            try {
                agent.recordResourceUsage(phase);
            } catch (IOException e) {
                failures.add("agent " + agent.number + ": resource usage is not readable: " + e.getMessage());
            }
        }
    }

    private void runClients(long endTime) throws InterruptedException {
        List<Future<?>> clients = new ArrayList<>();
        for (SoakAgent agent : agents) {
            for (int i = 0; i < plan.load().clientsPerAgent(); i++) {
                SoakClient client = new SoakClient(agent.number, i, agent.address, record, plan,
                        agent::acceptsNewClients);
                clients.add(workers.submit(() -> {
                    client.runUntil(endTime);
                    return null;
                }));
            }
        }
        for (Future<?> client : clients) {
            try {
                client.get();
            } catch (java.util.concurrent.ExecutionException e) {
                failures.add("a client failed: " + e.getCause());
            }
        }
    }

    /** Starts clients that flood an agent for as long as it takes new connections. */
    private void startFlood(PlannedFlood flood) {
        SoakAgent agent = agents.get(flood.agent());
        long end = record.now() + flood.durationMs();
        for (int i = 0; i < flood.clients(); i++) {
            FloodClient client = new FloodClient(flood.kind(), agent.address, "flood" + flood.atMs() + "-" + i,
                    () -> record.now() >= end || !agent.acceptsNewClients());
            workers.submit(client::run);
        }
    }

    /** Injects a fault; an exception counts as a failure of the run. */
    private void injectSafely(PlannedFault fault) {
        try {
            inject(fault);
        } catch (IOException | UncheckedIOException e) {
            failures.add(fault + " failed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void inject(PlannedFault fault) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case AGENT_KILLED -> restart(agents.get(fault.target()), true);
            case AGENT_TERMINATED -> restart(agents.get(fault.target()), false);
            case AGENT_HUNG_UP -> reloadTwice(agents.get(fault.target()));
            case AGENT_STOPPED -> pause(agents.get(fault.target()), fault.durationMs());
            case CLOCK_STEPPED -> systemFaults.stepClock(fault.target() % 2 == 0 ? HOUR_S : -HOUR_S);
            case DISCOVERY_DOWN -> {
                discovery.setDown(true);
                TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                discovery.setDown(false);
            }
            case DISCOVERY_SILENT -> discovery.silenceWatches();
            case DISCOVERY_SPOILT -> {
                discovery.setTruncating(true);
                TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                discovery.setTruncating(false);
            }
            case DESK_DOWN -> {
                desk.setDown(true);
                TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                desk.setDown(false);
            }
            case APPLIANCE_REPLACED -> replace(appliances.get(fault.target()));
            case APPLIANCE_CLOSES -> appliances.get(fault.target()).closeConnections();
            default -> {
                StandInAppliance appliance = appliances.get(fault.target());
                appliance.setFault(fault.kind(), true);
                TimeUnit.MILLISECONDS.sleep(fault.durationMs());
                appliance.setFault(fault.kind(), false);
            }
        }
    }

    private void restart(SoakAgent agent, boolean isKilled) throws IOException, InterruptedException {
        synchronized (agent) {
            if (isKilled) {
                agent.kill();
                TimeUnit.MILLISECONDS.sleep(AGENT_DOWN_MS);
            } else {
                agent.shutDown(SignalSequence.generate(new Random(plan.seed() * MAX_AGENTS + agent.number)));
            }
            agent.start();
        }
        incompleteRequestViolations.addAll(SoakChecker.checkIncompleteRequest(record, agent.number,
                SoakClient.sendIncompleteRequest(agent.address), record.now()));
    }

    /** Makes an agent reload its configuration twice in a row. */
    private static void reloadTwice(SoakAgent agent) throws IOException, InterruptedException {
        agent.reloadConfiguration();
        agent.reloadConfiguration();
    }

    private void pause(SoakAgent agent, long durationMs) throws IOException, InterruptedException {
        synchronized (agent) {
            long pausedAt = record.now();
            agent.sendSignal("STOP");
            TimeUnit.MILLISECONDS.sleep(durationMs);
            agent.sendSignal("CONT");
            record.pauses.add(new SoakRecord.ProcessPause(agent.number, pausedAt, record.now()));
        }
    }

    /** Replaces an appliance as a rollout does: drain, end, start of another process. */
    private void replace(StandInAppliance appliance) throws IOException, InterruptedException {
        synchronized (appliance) {
            appliance.drain();
            discovery.publishChange(appliance, ApplianceState.DRAINING);
            TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
            discovery.publishChange(appliance, ApplianceState.DELETED);
            appliance.stop();
            TimeUnit.MILLISECONDS.sleep(APPLIANCE_DOWN_MS);
            appliance.restart(appliance.build, systemFaults.wallClockMs());
            discovery.publishChange(appliance, ApplianceState.SERVING);
        }
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        workers.shutdownNow();
        for (SoakAgent agent : agents) {
            agent.close();
        }
        discovery.close();
        desk.close();
        for (StandInAppliance appliance : appliances) {
            appliance.close();
        }
    }
}
