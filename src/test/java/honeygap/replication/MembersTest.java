package honeygap.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.replication.member.Peer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembersTest {

    private static final long SECOND = SimulatedCluster.SECOND;

    /** A third of the processes is killed for good: all survivors declare them dead, and none of each other. */
    @ParameterizedTest
    @CsvSource({"12,1", "30,2", "60,3"})
    void killedThirdIsDeclaredDead(int processCount, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(processCount, 2, seed);
        cluster.runUntil(20 * SECOND);
        assertEquals(0, cluster.countPairs(Peer.Standing.SUSPECT, false)
                + cluster.countPairs(Peer.Standing.DEAD, false));
        cluster.processes.stream().filter(p -> p.number % 3 == 0).forEach(p -> p.downUntil = Long.MAX_VALUE);
        cluster.runUntil((20 + 90) * SECOND);
        int downCount = (processCount + 2) / 3;
        assertEquals(downCount * (processCount - downCount), cluster.countPairs(Peer.Standing.DEAD, true),
                "seed " + seed);
        assertEquals(0, cluster.countPairs(Peer.Standing.DEAD, false), "seed " + seed);
    }

    /** A third of the processes restarts within a second, with new generations: none is declared dead. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void restartedThirdStaysAlive(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(30, 2, seed);
        cluster.runUntil(20 * SECOND);
        cluster.processes.stream().filter(p -> p.number % 3 == 0).forEach(p -> {
            p.downUntil = cluster.now + SECOND;
            p.isKilled = true;
        });
        cluster.runUntil(60 * SECOND);
        assertEquals(0, cluster.countPairs(Peer.Standing.DEAD, false), "seed " + seed);
        for (SimulatedCluster.SimulatedProcess observer : cluster.processes) {
            for (SimulatedCluster.SimulatedProcess other : cluster.processes) {
                if (observer != other) {
                    assertEquals(other.identity.generation(), observer.detector.peer(other.name).generation,
                            "seed " + seed);
                }
            }
        }
    }

    /**
     * A process is stopped for ten seconds and continues with an outdated view: it refutes suspicions and declares
     * nobody dead.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void stoppedProcessRecovers(long seed) {
        SimulatedCluster cluster = new SimulatedCluster(20, 2, seed);
        cluster.runUntil(20 * SECOND);
        cluster.processes.get(3).downUntil = cluster.now + 10 * SECOND;
        cluster.runUntil(cluster.now + 12 * SECOND);
        assertEquals(0, cluster.processes.get(3).detector.peers().stream().filter(p -> p.standing() == Peer.Standing.DEAD).count());
        cluster.runUntil(cluster.now + 30 * SECOND);
        assertEquals(0, cluster.countPairs(Peer.Standing.SUSPECT, false)
                + cluster.countPairs(Peer.Standing.DEAD, false),
                "seed " + seed);
    }

    /**
     * Network partitions between sites, bidirectional, one-way or flapping, a total partition and a slow network:
     * after each heals, all processes recover.
     */
    @ParameterizedTest
    @CsvSource({"both,1", "one way,2", "flapping,3", "all,4", "slow,5"})
    void partitionHeals(String partition, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(24, 2, seed);
        cluster.runUntil(20 * SECOND);
        SimulatedCluster.Network healthyNetwork = cluster.network;
        cluster.network = (from, to, now) -> {
            boolean crossesSites = from % 2 != to % 2;
            boolean isCut = switch (partition) {
                case "both" -> crossesSites;
                case "one way" -> crossesSites && from % 2 == 0;
                case "flapping" -> crossesSites && now / SECOND % 2 == 0;
                case "all" -> true;
                default -> false;
            };
            return isCut ? -1 : partition.equals("slow") ? 2 * SECOND : 10;
        };
        cluster.runUntil(50 * SECOND);
        if (partition.equals("all")) {
            // A process that reaches nobody must not judge others.
            assertEquals(0, cluster.countPairs(Peer.Standing.DEAD, false), "seed " + seed);
            assertTrue(cluster.processes.stream().allMatch(p -> p.detector.isCutOff()), "seed " + seed);
        }
        cluster.network = healthyNetwork;
        cluster.runUntil(100 * SECOND);
        assertEquals(0, cluster.countPairs(Peer.Standing.SUSPECT, false)
                + cluster.countPairs(Peer.Standing.DEAD, false),
                partition + ", seed " + seed);
    }
}
