package honeygap.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** One agent in its own process, regular clients, and optionally clients that flood it; no other faults. */
final class FloodRun implements AutoCloseable {

    private static final int APPLIANCES = 8;
    private static final int ZONES = 3;
    /** Discovery processes one call of each agent of its fleet in a fixed time. */
    private static final int FLEET_SIZE = 100;
    private static final int REGULAR_CLIENTS = 24;
    private static final long WARM_UP_MS = 2000;
    private static final long[] DEADLINES_MS = {250, 418, 719};

    private final SoakRecord record = new SoakRecord();
    private final List<StandInAppliance> appliances = new ArrayList<>();
    private final StandInDiscovery discovery;
    private final StandInDesk desk;
    private final Map<SoakMethod, Long> deadlineMs = new EnumMap<>(SoakMethod.class);
    private final SoakAgent agent;

    /**
     * Starts the stand-ins and the agent.
     *
     * @param sockets limit of open file descriptors in the agent's settings
     */
    FloodRun(Path folder, int sockets) throws IOException, InterruptedException {
        for (SoakMethod method : SoakMethod.values()) {
            deadlineMs.put(method, DEADLINES_MS[method.ordinal() % DEADLINES_MS.length]);
        }
        discovery = new StandInDiscovery(FLEET_SIZE, record);
        desk = new StandInDesk();
        for (int i = 0; i < APPLIANCES; i++) {
            StandInAppliance appliance = new StandInAppliance(i, i % ZONES, StandInDesk.EARLIER_BUILD, record);
            appliances.add(appliance);
            discovery.addInitial(appliance);
        }
        SoakLoad load = new SoakLoad(deadlineMs, REGULAR_CLIENTS, sockets, false);
        agent = new SoakAgent(0, 1, folder.resolve("agent"), record, new SystemCallFaults(folder, 0),
                () -> discovery.lastDeliveredList(0), discovery.port(0), desk.port(), load);
        agent.start();
        TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
    }

    /**
     * Measures regular clients for a time, of which the first seconds don't count.
     *
     * @param kind what is flooded; null for no flood
     */
    FloodMeasurement measure(FloodKind kind, int floodClients, long durationMs, long seed) throws InterruptedException {
        FloodMeasurement warmUp = new FloodMeasurement();
        FloodMeasurement measurement = new FloodMeasurement();
        long measuredFrom = record.now() + WARM_UP_MS;
        long end = measuredFrom + durationMs;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < REGULAR_CLIENTS; i++) {
            String name = Long.toHexString(measuredFrom) + "-" + i;
            long clientSeed = seed * REGULAR_CLIENTS + i;
            threads.add(start(() -> new RegularClient(agent.address, name, deadlineMs, clientSeed, warmUp)
                    .run(() -> record.now() >= measuredFrom)));
            threads.add(start(() -> {
                TimeUnit.MILLISECONDS.sleep(measuredFrom - record.now());
                new RegularClient(agent.address, name + "m", deadlineMs, clientSeed, measurement)
                        .run(() -> record.now() >= end);
            }));
        }
        TimeUnit.MILLISECONDS.sleep(Math.max(0, measuredFrom - record.now()));
        BooleanSupplier isOver = () -> record.now() >= end;
        for (int i = 0; i < floodClients && kind != null; i++) {
            FloodClient flood = new FloodClient(kind, agent.address, "flood" + Long.toHexString(measuredFrom) + "-" + i, isOver);
            threads.add(start(flood::run));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return measurement;
    }

    private interface Task {
        void run() throws InterruptedException;
    }

    private static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Peak resident memory of the agent's process so far, in kilobytes. */
    long peakMemoryKb() throws IOException {
        return agent.peakMemoryKb();
    }

    @Override
    public void close() throws IOException {
        agent.close();
        discovery.close();
        desk.close();
        for (StandInAppliance appliance : appliances) {
            appliance.close();
        }
    }
}
