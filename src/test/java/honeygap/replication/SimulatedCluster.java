package honeygap.replication;

import honeygap.replication.exchange.PartnerSelector;
import honeygap.replication.member.FailureDetector;
import honeygap.replication.member.Peer;
import honeygap.replication.table.TableLimits;
import honeygap.replication.table.ProcessIdentity;
import honeygap.replication.table.ReplicatedTable;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates processes of several sites in a single process, with a virtual clock and network; all random decisions
 * follow from the seed.
 */
final class SimulatedCluster {

    static final long SECOND = 10_000;
    /** Interval of rounds, and timeout of a direct probe, in units of 0.1 ms. */
    static final long ROUND_INTERVAL = SECOND;
    static final long ANSWER_TIMEOUT = SECOND / 2;
    private static final TableLimits LIMITS = new TableLimits(2000, 2000, 40, 200, 60 * SECOND);

    /** One-way network delay, in units of 0.1 ms; negative if the message is lost. */
    interface Network {

        long delay(int from, int to, long now);
    }

    static final class SimulatedProcess {
        final int number;
        final String name;
        final String site;
        final long clockOffset;
        ProcessIdentity identity;
        ReplicatedTable membersTable;
        ReplicatedTable suspectsTable;
        FailureDetector detector;
        PartnerSelector partnerSelector;
        long nextRoundAt;
        /** The process is stopped or killed until then; after a kill it restarts with a new generation. */
        long downUntil = Long.MIN_VALUE;
        boolean isKilled;
        long bytes;

        SimulatedProcess(int number, String site, long clockOffset) {
            this.number = number;
            this.name = "p" + number;
            this.site = site;
            this.clockOffset = clockOffset;
        }
    }

    final UniformRandomProvider random;
    final List<SimulatedProcess> processes = new ArrayList<>();
    Network network = (from, to, now) -> 10;
    long now;

    SimulatedCluster(int processCount, int siteCount, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < processCount; i++) {
            // The clocks differ by minutes.
            SimulatedProcess process = new SimulatedProcess(i, "s" + i % siteCount, random.nextLong(120 * SECOND));
            processes.add(process);
            startProcess(process, 1);
            process.nextRoundAt = random.nextLong(ROUND_INTERVAL);
        }
        for (SimulatedProcess process : processes) {
            for (SimulatedProcess other : processes) {
                process.detector.memberAnnounced(other.name, 1, 1, "at" + other.number, other.site);
            }
        }
    }

    void startProcess(SimulatedProcess process, long generation) {
        long localTime = now + process.clockOffset;
        process.identity = new ProcessIdentity(process.name, generation);
        process.membersTable = new ReplicatedTable("members", process.identity, localTime, LIMITS);
        process.suspectsTable = new ReplicatedTable("suspects", process.identity, localTime, LIMITS);
        process.detector = new FailureDetector(process.name, ROUND_INTERVAL, localTime, random);
        process.partnerSelector = new PartnerSelector(process.site, random);
        process.isKilled = false;
    }

    boolean isDown(SimulatedProcess process) {
        return now < process.downUntil;
    }

    /** Whether a request and its response arrive within the timeout. */
    boolean isReachable(SimulatedProcess from, SimulatedProcess to, long timeout) {
        long requestDelay = network.delay(from.number, to.number, now);
        long responseDelay = network.delay(to.number, from.number, now);
        return !isDown(to) && requestDelay >= 0 && responseDelay >= 0 && requestDelay + responseDelay <= timeout;
    }

    void runUntil(long endTime) {
        while (now < endTime) {
            now += ROUND_INTERVAL / 20;
            for (SimulatedProcess process : processes) {
                if (!isDown(process) && now >= process.nextRoundAt) {
                    process.nextRoundAt = now + ROUND_INTERVAL;
                    if (process.isKilled) {
                        startProcess(process, process.identity.generation() + 1);
                        processes.forEach(other -> process.detector.memberAnnounced(other.name, 1, 1,
                                "at" + other.number, other.site));
                    }
                    runRound(process);
                }
            }
        }
    }

    private SimulatedProcess processByName(String name) {
        return processes.get(Integer.parseInt(name.substring(1)));
    }

    private void runRound(SimulatedProcess process) {
        publishMembership(process);
        Peer target = process.detector.nextProbeTarget();
        if (target != null) {
            long timeout = process.detector.probeTimeout(ANSWER_TIMEOUT);
            SimulatedProcess other = processByName(target.name);
            if (isReachable(process, other, timeout)) {
                process.detector.probeSucceeded(target.name, true);
            } else {
                boolean isTargetReached = false;
                boolean anyHelperAnswered = false;
                for (Peer helper : process.detector.indirectProbers(target.name, 3)) {
                    SimulatedProcess helperProcess = processByName(helper.name);
                    boolean isHelperReached = isReachable(process, helperProcess, 2 * timeout);
                    anyHelperAnswered |= isHelperReached;
                    isTargetReached |= isHelperReached && isReachable(helperProcess, other, timeout);
                }
                if (isTargetReached) {
                    process.detector.probeSucceeded(target.name, false);
                } else {
                    process.detector.probeFailed(target.name, anyHelperAnswered);
                }
            }
        }
        for (Peer partner : process.partnerSelector.select(process.detector.peers())) {
            SimulatedProcess other = processByName(partner.name);
            if (isReachable(process, other, 4 * ANSWER_TIMEOUT)) {
                exchange(process, process.membersTable, other, other.membersTable);
                exchange(process, process.suspectsTable, other, other.suspectsTable);
            }
        }
        updateMembership(process);
        process.detector.evaluate();
    }

    /** Publishes the process's announcement and the peers that it suspects. */
    private void publishMembership(SimulatedProcess process) {
        long localTime = now + process.clockOffset;
        process.detector.setNow(localTime);
        process.membersTable.setNow(localTime);
        process.suspectsTable.setNow(localTime);
        process.membersTable.put("self", process.detector.incarnation() + " at" + process.number + " " + process.site,
                20 * ROUND_INTERVAL);
        List<Peer> suspected = process.detector.suspectedPeers();
        process.suspectsTable.retainOnly(suspected.stream().map(peer -> peer.name).toList());
        for (Peer peer : suspected) {
            String value = peer.generation + " " + peer.incarnation;
            var stored = process.suspectsTable.get(process.name, peer.name);
            if (stored == null || !stored.entry().value().equals(value)) {
                process.suspectsTable.put(peer.name, value, 20 * ROUND_INTERVAL);
            }
        }
    }

    private void exchange(SimulatedProcess processA, ReplicatedTable tableA, SimulatedProcess processB,
            ReplicatedTable tableB) {
        long localTimeB = now + processB.clockOffset;
        tableB.setNow(localTimeB);
        var deltasForB = tableA.deltasFor(tableB.digest(), 1 << 20);
        var deltasForA = tableB.deltasFor(tableA.digest(), 1 << 20);
        tableB.merge(deltasForB, 0);
        tableA.merge(deltasForA, 0);
        updateMembership(processB);
    }

    private void updateMembership(SimulatedProcess process) {
        process.detector.setNow(now + process.clockOffset);
        for (var owner : process.membersTable.owners()) {
            if (owner.updatedAt > Long.MIN_VALUE && process.detector.peer(owner.name) != null
                    && process.detector.peer(owner.name).generation <= owner.generation) {
                var stored = process.membersTable.get(owner.name, "self");
                if (stored != null) {
                    String[] parts = stored.entry().value().split(" ");
                    process.detector.memberAnnounced(owner.name, owner.generation, Long.parseLong(parts[0]), parts[1],
                            parts[2]);
                    process.detector.updateReceived(owner.name, stored.writtenAt());
                }
            }
        }
        process.suspectsTable.forEachLive((owner, stored) -> {
            String[] parts = stored.entry().value().split(" ");
            process.detector.suspicionReceived(owner.name, stored.entry().name(), Long.parseLong(parts[0]),
                    Long.parseLong(parts[1]));
        });
    }

    /** Counts pairs in which a running observer has this view of a target that is down or not, as selected. */
    int countPairs(Peer.Standing standing, boolean targetIsDown) {
        int pairs = 0;
        for (SimulatedProcess observer : processes) {
            for (SimulatedProcess target : processes) {
                Peer peer = observer.detector.peer(target.name);
                pairs += observer != target && !isDown(observer) && isDown(target) == targetIsDown && peer != null
                        && peer.standing() == standing ? 1 : 0;
            }
        }
        return pairs;
    }
}
