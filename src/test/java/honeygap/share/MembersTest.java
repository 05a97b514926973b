package honeygap.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.share.member.Peer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembersTest {

    private static final long SECOND = Town.SECOND;

    /** A third falls silent for good: all that are left hold them for dead, and none of each other. */
    @ParameterizedTest
    @CsvSource({"12,1", "30,2", "60,3"})
    void aThirdIsKilled(int many, long seed) {
        Town town = new Town(many, 2, seed);
        town.run(20 * SECOND);
        assertEquals(0, town.pairs(Peer.Standing.SUSPECT, false) + town.pairs(Peer.Standing.DEAD, false));
        town.all.stream().filter(p -> p.number % 3 == 0).forEach(p -> p.awayUntil = Long.MAX_VALUE);
        town.run((20 + 90) * SECOND);
        int away = (many + 2) / 3;
        assertEquals(away * (many - away), town.pairs(Peer.Standing.DEAD, true), "seed " + seed);
        assertEquals(0, town.pairs(Peer.Standing.DEAD, false), "seed " + seed);
    }

    /** A third is killed and back within a second, as other processes: nobody is held for dead. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aThirdRestarts(long seed) {
        Town town = new Town(30, 2, seed);
        town.run(20 * SECOND);
        town.all.stream().filter(p -> p.number % 3 == 0).forEach(p -> {
            p.awayUntil = town.now + SECOND;
            p.killed = true;
        });
        town.run(60 * SECOND);
        assertEquals(0, town.pairs(Peer.Standing.DEAD, false), "seed " + seed);
        for (Town.Process one : town.all) {
            for (Town.Process other : town.all) {
                if (one != other) {
                    assertEquals(other.life.generation(), one.detector.peer(other.name).generation, "seed " + seed);
                }
            }
        }
    }

    /** One is stopped for ten seconds and goes on with its old picture: it refutes, and holds nobody for dead. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oneIsStopped(long seed) {
        Town town = new Town(20, 2, seed);
        town.run(20 * SECOND);
        town.all.get(3).awayUntil = town.now + 10 * SECOND;
        town.run(town.now + 12 * SECOND);
        assertEquals(0, town.all.get(3).detector.peers().stream().filter(p -> p.standing() == Peer.Standing.DEAD).count());
        town.run(town.now + 30 * SECOND);
        assertEquals(0, town.pairs(Peer.Standing.SUSPECT, false) + town.pairs(Peer.Standing.DEAD, false),
                "seed " + seed);
    }

    /** Sites that are cut off from each other, in one direction or both or every other second, and healed again. */
    @ParameterizedTest
    @CsvSource({"both,1", "one way,2", "flapping,3", "all,4", "slow,5"})
    void cutAndHealed(String cut, long seed) {
        Town town = new Town(24, 2, seed);
        town.run(20 * SECOND);
        Town.Links whole = town.links;
        town.links = (from, to, now) -> {
            boolean across = from % 2 != to % 2;
            boolean off = switch (cut) {
                case "both" -> across;
                case "one way" -> across && from % 2 == 0;
                case "flapping" -> across && now / SECOND % 2 == 0;
                case "all" -> true;
                default -> false;
            };
            return off ? -1 : cut.equals("slow") ? 2 * SECOND : 10;
        };
        town.run(50 * SECOND);
        if (cut.equals("all")) {
            // Whoever hears nobody judges nobody.
            assertEquals(0, town.pairs(Peer.Standing.DEAD, false), "seed " + seed);
            assertTrue(town.all.stream().allMatch(p -> p.detector.isCutOff()), "seed " + seed);
        }
        town.links = whole;
        town.run(100 * SECOND);
        assertEquals(0, town.pairs(Peer.Standing.SUSPECT, false) + town.pairs(Peer.Standing.DEAD, false),
                cut + ", seed " + seed);
    }
}
