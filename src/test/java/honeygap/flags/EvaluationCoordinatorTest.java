package honeygap.flags;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Zone;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Decisions of {@link EvaluationCoordinator} and of the data structures that it uses, on a simulated clock. */
class EvaluationCoordinatorTest {

    private static final Method METHOD = new Method(0, Method.IDEMPOTENT, 0, 0, 1000, 10_000, 1, 0);

    /** Drives a coordinator and records its decisions as text. */
    private static final class Harness implements EvaluationCoordinator.DecisionSink {

        final EvaluationCoordinator coordinator;
        final List<String> results = new ArrayList<>();
        final List<SharedRequest> requests = new ArrayList<>();
        final Map<Evaluation, String> names = new HashMap<>();
        long now = 100_000;

        Harness(boolean sharing, int keys, FallbackPolicy... allowances) {
            coordinator = new EvaluationCoordinator(sharing, 10, List.of(allowances), new VersionFloors(keys, 1024),
                    new AnswerCache(1 << 16));
            coordinator.setNow(now);
        }

        Evaluation ask(String name, String flag, long targetingKeyHash, long clientVersion, long timeout) {
            byte[] identity = (flag + targetingKeyHash).getBytes(StandardCharsets.UTF_8);
            FlagQuery question = new FlagQuery(METHOD, flag, targetingKeyHash, identity,
                    targetingKeyHash * 31 + flag.hashCode(), true);
            Evaluation evaluation = new Evaluation(question, now, now + timeout, clientVersion);
            names.put(evaluation, name);
            coordinator.evaluationReceived(evaluation);
            drainDecisions();
            return evaluation;
        }

        Evaluation ask(String name, long targetingKeyHash) {
            return ask(name, "f", targetingKeyHash, ServerAnswer.NO_VERSION, 10_000);
        }

        int serve(int request, long version, boolean isOnTrial) {
            return serve(request, 200, version, 0, isOnTrial);
        }

        int serve(int request, int status, long version, int type, boolean isOnTrial) {
            String flag = requests.get(request).query.flag;
            int outcome = coordinator.answerReceived(requests.get(request), new ServerAnswer(status,
                    ("v" + version).getBytes(StandardCharsets.UTF_8), version, version,
                    status == 200 ? Map.of(flag, type) : Map.of()), isOnTrial);
            drainDecisions();
            return outcome;
        }

        void fail(int request, boolean isPushedBack) {
            coordinator.requestFailed(this.requests.get(request), isPushedBack, 500);
            drainDecisions();
        }

        void advance(long duration) {
            now += duration;
            coordinator.setNow(now);
            drainDecisions();
        }

        void drainDecisions() {
            while (coordinator.next(this)) {
                continue;
            }
        }

        String takeResults() {
            String text = String.join(" ", results);
            results.clear();
            return text;
        }

        @Override
        public void openRequest(SharedRequest request) {
            requests.add(request);
        }

        @Override
        public void answer(Evaluation evaluation, ServerAnswer answer, int source) {
            results.add(names.get(evaluation) + ":"
                    + (answer.isOk() ? new String(answer.body, StandardCharsets.UTF_8) : answer.status)
                    + (source == EvaluationCoordinator.FRESH ? "" : source == EvaluationCoordinator.CACHED ? "cached" : "stale"));
        }

        @Override
        public void pushBack(Evaluation evaluation, long retryAfter) {
            results.add(names.get(evaluation) + ":pushedBack");
        }

        @Override
        public void abort(Evaluation evaluation) {
            results.add(names.get(evaluation) + ":abort");
        }

        @Override
        public void cancelRequest(SharedRequest request) {
            results.add("drop");
        }

        @Override
        public void wake(long delay) {
            // Each test advances the clock itself.
        }
    }

    /** Identical concurrent queries share a pick while enough of its deadline is left; other queries do not. */
    @ParameterizedTest
    @CsvSource({"true,0,1,1", "true,5000,1,1", "true,5001,1,2", "true,0,2,2", "false,0,1,2"})
    void identicalQueriesShareAPick(boolean isSharing, long delay, long secondTargetingKey, int expectedRequests) {
        Harness harness = new Harness(isSharing, 64);
        harness.ask("a", 1);
        harness.advance(delay);
        harness.ask("b", secondTargetingKey);
        assertEquals(expectedRequests, harness.requests.size());
        assertEquals(Pick.OK, harness.serve(0, 1, false));
        assertEquals(expectedRequests == 1 ? "a:v1 b:v1" : "a:v1", harness.takeResults());
        if (expectedRequests == 2) {
            harness.serve(1, 1, false);
            assertEquals("b:v1", harness.takeResults());
        }
    }

    /**
     * Each of the sharing evaluations has its own deadline and may be cancelled alone; the pick continues for the
     * rest.
     */
    @Test
    void sharingEvaluationsEndSeparately() {
        Harness harness = new Harness(true, 64);
        Evaluation a = harness.ask("a", 1);
        harness.ask("b", "f", 1, ServerAnswer.NO_VERSION, 300);
        harness.ask("c", 1);
        harness.coordinator.clientDisconnected(a);
        harness.advance(289);
        assertEquals("", harness.takeResults());
        harness.advance(1);
        assertEquals("b:abort", harness.takeResults());
        assertEquals(Pick.OK, harness.serve(0, 1, false));
        assertEquals("c:v1", harness.takeResults());
        // A second answer and a late failure have no effect.
        assertEquals(Pick.OK, harness.serve(0, 2, false));
        harness.fail(0, true);
        assertEquals("", harness.takeResults());
        Evaluation d = harness.ask("d", 1);
        harness.coordinator.clientDisconnected(d);
        harness.drainDecisions();
        assertEquals("drop", harness.takeResults());
        assertEquals(0, harness.coordinator.activeEvaluations());
    }

    /**
     * A pick on trial answers one evaluation; the others start a new request, and no other evaluation joins the pick.
     */
    @Test
    void trialBuildAnswersOneEvaluation() {
        Harness harness = new Harness(true, 64);
        harness.ask("a", 1);
        harness.ask("b", 1);
        harness.ask("c", 1);
        harness.coordinator.pickStarted(harness.requests.get(0), true);
        harness.drainDecisions();
        assertEquals(2, harness.requests.size());
        harness.ask("d", 1);
        assertEquals(2, harness.requests.size(), "d joins the request of b and c");
        harness.serve(0, 1, true);
        assertEquals("a:v1", harness.takeResults());
        harness.serve(1, 1, false);
        assertEquals("b:v1 c:v1 d:v1", harness.takeResults());
    }

    /** Answers of given versions for one key, in order: the outcome of each and the results returned to clients. */
    @ParameterizedTest
    @CsvSource({"5 6,ok ok,a:v5 b:v6", "5 5,ok ok,a:v5 b:v5", "6 5,ok moot,a:v6", "6 -1,ok ok,a:v6 b:v-1",
        "-1 5,ok ok,a:v-1 b:v5"})
    void versionsOfAKeyNeverDecrease(String versions, String outcomes, String expected) {
        Harness harness = new Harness(true, 64);
        String[] outcomeNames = outcomes.split(" ");
        String[] versionNumbers = versions.split(" ");
        for (int i = 0; i < versionNumbers.length; i++) {
            harness.ask(i == 0 ? "a" : "b", 1);
            assertEquals(outcomeNames[i].equals("ok") ? Pick.OK : Pick.NOT_EXECUTED,
                    harness.serve(i, Long.parseLong(versionNumbers[i]), false));
        }
        assertEquals(expected, harness.takeResults());
    }

    /** Of two concurrent requests for one key, the one answered last has the older version: that answer is refused. */
    @Test
    void outdatedAnswerOfConcurrentRequestIsRefused() {
        Harness harness = new Harness(false, 64);
        harness.ask("a", 1);
        harness.ask("b", 1);
        assertEquals(Pick.OK, harness.serve(0, 6, false));
        assertEquals(Pick.NOT_EXECUTED, harness.serve(1, 5, false));
        assertEquals(Pick.OK, harness.serve(1, 6, false));
        assertEquals("a:v6 b:v6", harness.takeResults());
    }

    /** The version that a client says it holds applies to this evaluation only, not to others of the key. */
    @Test
    void clientVersionBindsOneEvaluation() {
        Harness harness = new Harness(false, 64);
        harness.ask("a", "f", 1, 9, 10_000);
        assertEquals(Pick.NOT_EXECUTED, harness.serve(0, 5, false));
        harness.ask("b", 1);
        assertEquals(Pick.OK, harness.serve(1, 5, false));
        assertEquals("b:v5", harness.takeResults());
    }

    /** After a failure the cached answer is used if its age and the key's version allow it, otherwise the failure. */
    @ParameterizedTest
    @CsvSource({"f,0,5,true,b:v5cached", "f,3000,5,true,b:v5cached", "f,3001,5,true,b:v5stale",
        "*,9000,5,false,b:v5stale", "f,9001,5,true,b:pushedBack", "g,0,5,true,b:pushedBack", "f,0,6,true,b:pushedBack",
        "f,0,6,false,b:abort", "*e*,0,5,true,b:pushedBack", "*,0,5,true,b:v5cached"})
    void cachedAnswerAfterFailure(String pattern, long age, long keyVersion, boolean isPushedBack, String expected) {
        Harness harness = new Harness(true, 64, new FallbackPolicy(pattern, 3000, 9000));
        harness.ask("a", 1);
        harness.serve(0, 5, false);
        if (keyVersion > 5) {
            // The key has been answered from a newer version for another flag; the cached answer of this one is older.
            harness.ask("x", "x", 1, ServerAnswer.NO_VERSION, 10_000);
            harness.serve(1, keyVersion, false);
        }
        harness.takeResults();
        harness.advance(age);
        harness.ask("b", 1);
        harness.fail(harness.requests.size() - 1, isPushedBack);
        assertEquals(expected, harness.takeResults());
    }

    /** An evaluation that reaches its deadline without a server's answer uses the cached answer as well. */
    @Test
    void cachedAnswerAtDeadline() {
        Harness harness = new Harness(true, 64, new FallbackPolicy("*", 0, 100_000));
        harness.ask("a", 1);
        harness.serve(0, 5, false);
        harness.ask("b", 1);
        harness.advance(9_990);
        assertEquals("a:v5 b:v5stale drop", harness.takeResults());
    }

    /**
     * A build on trial fails if it returns another value type, or does not know a flag that other builds know. A
     * released server that does not know the flag only counts as outdated.
     */
    @ParameterizedTest
    @CsvSource({"200,5,1,true,1", "200,4,1,true,1", "200,6,1,true,0", "200,-1,1,true,1", "200,5,0,true,0",
        "200,5,1,false,0", "404,-1,0,true,1", "404,-1,0,false,7", "400,-1,0,true,0"})
    void unexpectedTypeOrUnknownFlag(int status, long version, int type, boolean isOnTrial, int outcome) {
        Harness harness = new Harness(false, 64);
        harness.ask("a", 1);
        harness.serve(0, 200, 5, 0, false);
        harness.ask("b", 2);
        assertEquals(outcome, harness.serve(1, status, version, type, isOnTrial));
    }

    /** A flag counts as deleted after a few replies from released servers that do not know it. */
    @Test
    void deletedFlag() {
        Harness harness = new Harness(false, 64);
        harness.ask("a", 1);
        harness.serve(0, 200, 5, 0, false);
        harness.takeResults();
        for (int i = 0; i < 3; i++) {
            harness.ask("b", 2);
            assertEquals(Pick.NOT_EXECUTED, harness.serve(1 + i, 404, -1, 0, false));
        }
        harness.ask("c", 2);
        assertEquals(Pick.OK, harness.serve(4, 404, -1, 0, false));
        assertEquals("c:404", harness.takeResults());
    }

    /** Compared with a plain map, the floor is never below the version of a key, however small the capacity. */
    @ParameterizedTest
    @ValueSource(ints = {8, 64, 1000})
    void versionFloorNeverDecreases(int capacity) {
        Random random = new Random(capacity);
        VersionFloors versions = new VersionFloors(capacity, 256);
        Map<Long, Long> reference = new HashMap<>();
        long bytes = versions.memoryBytes();
        int exactCount = 0;
        for (int i = 0; i < 20_000; i++) {
            long key = 1 + random.nextInt(400) * 0x9e3779b97f4a7c15L;
            long version = i / 200 - random.nextInt(3);
            long floor = versions.floor(key);
            assertTrue(floor >= reference.getOrDefault(key, -1L), "seed " + capacity + ", step " + i);
            exactCount += floor == reference.getOrDefault(key, -1L) ? 1 : 0;
            if (version >= floor) {
                versions.raise(key, version);
                reference.merge(key, version, Math::max);
            }
        }
        assertEquals(bytes, versions.memoryBytes());
        assertTrue(capacity < 1000 || exactCount == 20_000, "exact if the capacity holds all keys: " + exactCount);
        assertTrue(versions.size() <= Math.max(8, capacity * 2));
    }

    /**
     * Compared with a plain map, the cache returns the answer stored last for the query, never that of another query.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 4096, 65_536})
    void cacheMatchesReferenceMap(int capacity) {
        Random random = new Random(capacity);
        AnswerCache cache = new AnswerCache(capacity);
        Map<String, String> reference = new HashMap<>();
        int foundCount = 0;
        for (int i = 0; i < 20_000; i++) {
            String name = "q" + random.nextInt(100);
            // Few distinct hashes, so that queries collide.
            FlagQuery query = new FlagQuery(METHOD, name, 1, name.getBytes(StandardCharsets.UTF_8),
                    name.hashCode() % 17, true);
            int position = cache.find(query);
            if (position >= 0) {
                foundCount++;
                assertEquals(reference.get(name), new String(cache.body(position), StandardCharsets.UTF_8),
                        "seed " + capacity + ", step " + i);
                assertEquals(reference.get(name).length(), cache.version(position));
            }
            if (random.nextInt(4) == 0) {
                String body = "b".repeat(random.nextInt(200)) + i;
                if (32 + name.length() + body.length() <= capacity / 16) {
                    reference.put(name, body);
                }
                cache.put(query, body.length(), body.getBytes(StandardCharsets.UTF_8), i);
            }
        }
        assertEquals(capacity > 0, foundCount > 0);
        assertTrue(capacity < 65_536 || foundCount > 10_000, "found " + foundCount);
    }

    /** A retry-after delay stops picks to the server, limits its location, and expires. */
    @Test
    void retryAfterLimits() {
        RetryAfterLimits limits = new RetryAfterLimits(100_000);
        limits.setNow(1000);
        Zone east = new Zone();
        Appliance[] servers = {new Appliance(1), new Appliance(2), new Appliance(3)};
        for (Appliance server : servers) {
            server.zone = east;
            server.limit.inFlight = 2;
        }
        east.inFlight = 6;
        limits.retryAfterReceived(servers[0], 20_000);
        assertEquals(21_000, servers[0].retryAfterUntil);
        assertEquals("4 21000", east.maxInFlight + " " + east.limitedUntil);
        limits.retryAfterReceived(servers[1], 5_000);
        assertEquals("0 6000", east.maxInFlight + " " + east.limitedUntil,
                "two servers backing off stop the location until the first delay ends");
        assertEquals(5_000, limits.timeUntilAvailable());
        limits.setNow(7000);
        assertEquals(14_000, limits.timeUntilAvailable());
        limits.retryAfterReceived(servers[2], Long.MAX_VALUE);
        assertEquals(107_000, servers[2].retryAfterUntil, "delays are cut to the maximum");
        limits.setNow(200_000);
        assertEquals(0, limits.timeUntilAvailable());
    }

    /** The stages of a local rollout after each vote, and the builds whose servers may be listed. */
    @ParameterizedTest
    @CsvSource({
        "1 2,2:0:1,2:0@1,12", "1 2,2:0:1 2:1:1,2:2@1,12", "1 2,2:0:3,2:3@0,1", "1 2,2:0:2,2:0@0,12",
        "1 2,2:1:1,2:0@0,12", "1 2 3,2:0:1,2:0@1,12", "1 2 3,2:0:1 2:1:1,3:0@0,123", "1 2 3,2:0:3,3:0@0,13",
        "1,1:0:3,1:2@0,1", "4,'',4:2@0,4"})
    void localRollout(String builds, String votes, String expectedStatus, String expectedBuilds) {
        LocalRollout rollout = new LocalRollout(new double[] {0.1, 0.5}, -1);
        Set<Integer> available = new java.util.TreeSet<>();
        for (String build : builds.split(" ")) {
            available.add(Integer.parseInt(build));
        }
        String[] lastStatus = {""};
        LocalRollout.Listener listener = new LocalRollout.Listener() {
            @Override
            public void statusChanged(int build, int phase, int stage, double cap, boolean answer, long since) {
                lastStatus[0] = build + ":" + phase + "@" + stage;
            }

            @Override
            public void serversChanged() {
                lastStatus[0] += "";
            }
        };
        rollout.setAvailableBuilds(available);
        while (rollout.next(listener)) {
            continue;
        }
        for (String vote : votes.isEmpty() ? new String[0] : votes.split(" ")) {
            String[] parts = vote.split(":");
            rollout.setNow(1000);
            rollout.recordVote(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
            while (rollout.next(listener)) {
                continue;
            }
        }
        assertEquals(expectedStatus, lastStatus[0]);
        StringBuilder admitted = new StringBuilder();
        available.stream().filter(rollout::admits).forEach(admitted::append);
        assertEquals(expectedBuilds, admitted.toString());
    }
}
