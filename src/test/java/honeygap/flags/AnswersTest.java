package honeygap.flags;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Location;
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

/** What {@code Answers} and the structures beneath it decide, on a clock of their own. */
class AnswersTest {

    private static final Method ONE = new Method(0, Method.IDEMPOTENT, 0, 0, 1000, 10_000, 1, 0);

    /** Answers, with what it says written down as words. */
    private static final class Desk implements Answers.Out {

        final Answers answers;
        final List<String> said = new ArrayList<>();
        final List<Shared> opened = new ArrayList<>();
        final Map<Evaluation, String> names = new HashMap<>();
        long now = 100_000;

        Desk(boolean sharing, int keys, Allowance... allowances) {
            answers = new Answers(sharing, 10, List.of(allowances), new Versions(keys, 1024), new Kept(1 << 16));
            answers.now(now);
        }

        Evaluation ask(String name, String flag, long subject, long holds, long within) {
            byte[] identity = (flag + subject).getBytes(StandardCharsets.UTF_8);
            Question question = new Question(ONE, flag, subject, identity, subject * 31 + flag.hashCode(), true);
            Evaluation evaluation = new Evaluation(question, now, now + within, holds);
            names.put(evaluation, name);
            answers.asked(evaluation);
            pull();
            return evaluation;
        }

        Evaluation ask(String name, long subject) {
            return ask(name, "f", subject, Served.NO_VERSION, 10_000);
        }

        int serve(int opened, long version, boolean trial) {
            return serve(opened, 200, version, 0, trial);
        }

        int serve(int number, int status, long version, int kind, boolean trial) {
            String flag = opened.get(number).question.flag;
            int outcome = answers.served(opened.get(number), new Served(status,
                    ("v" + version).getBytes(StandardCharsets.UTF_8), version, version,
                    status == 200 ? Map.of(flag, kind) : Map.of()), trial);
            pull();
            return outcome;
        }

        void give(int opened, boolean pushedBack) {
            answers.givenUp(this.opened.get(opened), pushedBack, 500);
            pull();
        }

        void after(long time) {
            now += time;
            answers.now(now);
            pull();
        }

        void pull() {
            while (answers.next(this)) {
                continue;
            }
        }

        String heard() {
            String words = String.join(" ", said);
            said.clear();
            return words;
        }

        @Override
        public void open(Shared shared) {
            opened.add(shared);
        }

        @Override
        public void answer(Evaluation evaluation, Served served, int how) {
            said.add(names.get(evaluation) + ":" + (served.isGood() ? new String(served.body,
                    StandardCharsets.UTF_8) : served.status) + (how == Answers.FRESH ? "" : how == Answers.CACHED
                    ? "cached" : "stale"));
        }

        @Override
        public void pushBack(Evaluation evaluation, long stayAway) {
            said.add(names.get(evaluation) + ":back");
        }

        @Override
        public void abort(Evaluation evaluation) {
            said.add(names.get(evaluation) + ":abort");
        }

        @Override
        public void drop(Shared shared) {
            said.add("drop");
        }

        @Override
        public void wake(long delay) {
            // Each test moves the clock.
        }
    }

    /** The same question asked at once shares a pick, as long as enough of its time is left; others do not. */
    @ParameterizedTest
    @CsvSource({"true,0,1,1", "true,5000,1,1", "true,5001,1,2", "true,0,2,2", "false,0,1,2"})
    void sharing(boolean sharing, long later, long subject, int opened) {
        Desk desk = new Desk(sharing, 64);
        desk.ask("a", 1);
        desk.after(later);
        desk.ask("b", subject);
        assertEquals(opened, desk.opened.size());
        assertEquals(Pick.OK, desk.serve(0, 1, false));
        assertEquals(opened == 1 ? "a:v1 b:v1" : "a:v1", desk.heard());
        if (opened == 2) {
            desk.serve(1, 1, false);
            assertEquals("b:v1", desk.heard());
        }
    }

    /** Each that shares has its own deadline, its own leaving; the pick goes on for whoever is left. */
    @Test
    void endsOfThoseThatShare() {
        Desk desk = new Desk(true, 64);
        Evaluation a = desk.ask("a", 1);
        desk.ask("b", "f", 1, Served.NO_VERSION, 300);
        desk.ask("c", 1);
        desk.answers.left(a);
        desk.after(289);
        assertEquals("", desk.heard());
        desk.after(1);
        assertEquals("b:abort", desk.heard());
        assertEquals(Pick.OK, desk.serve(0, 1, false));
        assertEquals("c:v1", desk.heard());
        // A second answer, a late one, and a late giving up reach nobody.
        assertEquals(Pick.OK, desk.serve(0, 2, false));
        desk.give(0, true);
        assertEquals("", desk.heard());
        Evaluation d = desk.ask("d", 1);
        desk.answers.left(d);
        desk.pull();
        assertEquals("drop", desk.heard());
        assertEquals(0, desk.answers.activeEvaluations());
    }

    /** A pick on trial answers one evaluation; the others ask anew, and nobody joins it. */
    @Test
    void trialAnswersOne() {
        Desk desk = new Desk(true, 64);
        desk.ask("a", 1);
        desk.ask("b", 1);
        desk.ask("c", 1);
        desk.answers.picked(desk.opened.get(0), true);
        desk.pull();
        assertEquals(2, desk.opened.size());
        desk.ask("d", 1);
        assertEquals(2, desk.opened.size(), "d waits with b and c");
        desk.serve(0, 1, true);
        assertEquals("a:v1", desk.heard());
        desk.serve(1, 1, false);
        assertEquals("b:v1 c:v1 d:v1", desk.heard());
    }

    /** Versions that a key meets, one after another: what each answer does, and what the client hears. */
    @ParameterizedTest
    @CsvSource({"5 6,ok ok,a:v5 b:v6", "5 5,ok ok,a:v5 b:v5", "6 5,ok older,a:v6", "6 -1,ok ok,a:v6 b:v-1",
        "-1 5,ok ok,a:v-1 b:v5"})
    void order(String versions, String outcomes, String heard) {
        Desk desk = new Desk(true, 64);
        String[] outcome = outcomes.split(" ");
        String[] version = versions.split(" ");
        for (int i = 0; i < version.length; i++) {
            desk.ask(i == 0 ? "a" : "b", 1);
            assertEquals(outcome[i].equals("ok") ? Pick.OK : Pick.MOOT,
                    desk.serve(i, Long.parseLong(version[i]), false));
        }
        assertEquals(heard, desk.heard());
    }

    /** Two open at once for one key, answered the wrong way round: the older answer is turned down. */
    @Test
    void orderOfTwoOpen() {
        Desk desk = new Desk(false, 64);
        desk.ask("a", 1);
        desk.ask("b", 1);
        assertEquals(Pick.OK, desk.serve(0, 6, false));
        assertEquals(Pick.MOOT, desk.serve(1, 5, false));
        assertEquals(Pick.OK, desk.serve(1, 6, false));
        assertEquals("a:v6 b:v6", desk.heard());
    }

    /** What the client says that it holds binds this evaluation, not others of the key. */
    @Test
    void orderByWhatTheClientHolds() {
        Desk desk = new Desk(false, 64);
        desk.ask("a", "f", 1, 9, 10_000);
        assertEquals(Pick.MOOT, desk.serve(0, 5, false));
        desk.ask("b", 1);
        assertEquals(Pick.OK, desk.serve(1, 5, false));
        assertEquals("b:v5", desk.heard());
    }

    /** Given up: the last good answer by its age and the key's version, or else what the rules said. */
    @ParameterizedTest
    @CsvSource({"f,0,5,true,b:v5cached", "f,3000,5,true,b:v5cached", "f,3001,5,true,b:v5stale",
        "*,9000,5,false,b:v5stale", "f,9001,5,true,b:back", "g,0,5,true,b:back", "f,0,6,true,b:back",
        "f,0,6,false,b:abort", "*e*,0,5,true,b:back", "*,0,5,true,b:v5cached"})
    void lastGood(String match, long age, long met, boolean pushedBack, String heard) {
        Desk desk = new Desk(true, 64, new Allowance(match, 3000, 9000));
        desk.ask("a", 1);
        desk.serve(0, 5, false);
        if (met > 5) {
            // The key has met a newer version by another flag, which is not what is kept for this one.
            desk.ask("x", "x", 1, Served.NO_VERSION, 10_000);
            desk.serve(1, met, false);
        }
        desk.heard();
        desk.after(age);
        desk.ask("b", 1);
        desk.give(desk.opened.size() - 1, pushedBack);
        assertEquals(heard, desk.heard());
    }

    /** Too late for every server: at its own deadline an evaluation has the last good answer as well. */
    @Test
    void lastGoodAtDeadline() {
        Desk desk = new Desk(true, 64, new Allowance("*", 0, 100_000));
        desk.ask("a", 1);
        desk.serve(0, 5, false);
        desk.ask("b", 1);
        desk.after(9_990);
        assertEquals("a:v5 b:v5stale drop", desk.heard());
    }

    /** A build on trial that gives another type, or knows no flag that is known, has failed; others lag. */
    @ParameterizedTest
    @CsvSource({"200,5,1,true,1", "200,4,1,true,1", "200,6,1,true,0", "200,-1,1,true,1", "200,5,0,true,0",
        "200,5,1,false,0", "404,-1,0,true,1", "404,-1,0,false,7", "400,-1,0,true,0"})
    void odd(int status, long version, int kind, boolean trial, int outcome) {
        Desk desk = new Desk(false, 64);
        desk.ask("a", 1);
        desk.serve(0, 200, 5, 0, false);
        desk.ask("b", 2);
        assertEquals(outcome, desk.serve(1, status, version, kind, trial));
    }

    /** A flag that released servers no longer know is gone after a few of them have said so. */
    @Test
    void flagGone() {
        Desk desk = new Desk(false, 64);
        desk.ask("a", 1);
        desk.serve(0, 200, 5, 0, false);
        desk.heard();
        for (int i = 0; i < 3; i++) {
            desk.ask("b", 2);
            assertEquals(Pick.MOOT, desk.serve(1 + i, 404, -1, 0, false));
        }
        desk.ask("c", 2);
        assertEquals(Pick.OK, desk.serve(4, 404, -1, 0, false));
        assertEquals("c:404", desk.heard());
    }

    /** Against a plain map: never below what a key has met, however little room there is. */
    @ParameterizedTest
    @ValueSource(ints = {8, 64, 1000})
    void versionsNeverFall(int room) {
        Random random = new Random(room);
        Versions versions = new Versions(room, 256);
        Map<Long, Long> plain = new HashMap<>();
        long bytes = versions.memoryBytes();
        int exact = 0;
        for (int i = 0; i < 20_000; i++) {
            long key = 1 + random.nextInt(400) * 0x9e3779b97f4a7c15L;
            long version = i / 200 - random.nextInt(3);
            long floor = versions.floor(key);
            assertTrue(floor >= plain.getOrDefault(key, -1L), "seed " + room + ", step " + i);
            exact += floor == plain.getOrDefault(key, -1L) ? 1 : 0;
            if (version >= floor) {
                versions.met(key, version);
                plain.merge(key, version, Math::max);
            }
        }
        assertEquals(bytes, versions.memoryBytes());
        assertTrue(room < 1000 || exact == 20_000, "with room for all it is exact: " + exact);
        assertTrue(versions.size() <= Math.max(8, room * 2));
    }

    /** Against a plain map: what is found is what was kept last for that very question, never another's. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4096, 65_536})
    void keptIsWhatWasKept(int room) {
        Random random = new Random(room);
        Kept kept = new Kept(room);
        Map<String, String> plain = new HashMap<>();
        int found = 0;
        for (int i = 0; i < 20_000; i++) {
            String name = "q" + random.nextInt(100);
            // Few hashes, so that questions share them.
            Question question = new Question(ONE, name, 1, name.getBytes(StandardCharsets.UTF_8),
                    name.hashCode() % 17, true);
            int at = kept.find(question);
            if (at >= 0) {
                found++;
                assertEquals(plain.get(name), new String(kept.body(at), StandardCharsets.UTF_8),
                        "seed " + room + ", step " + i);
                assertEquals(plain.get(name).length(), kept.version(at));
            }
            if (random.nextInt(4) == 0) {
                String body = "b".repeat(random.nextInt(200)) + i;
                if (32 + name.length() + body.length() <= room / 16) {
                    plain.put(name, body);
                }
                kept.keep(question, body.length(), body.getBytes(StandardCharsets.UTF_8), i);
            }
        }
        assertEquals(room > 0, found > 0);
        assertTrue(room < 65_536 || found > 10_000, "found " + found);
    }

    /** What servers say of when to come back bars them, bounds their location, and ends by itself. */
    @Test
    void limits() {
        Limits limits = new Limits(100_000);
        limits.now(1000);
        Location east = new Location();
        Appliance[] servers = {new Appliance(1), new Appliance(2), new Appliance(3)};
        for (Appliance server : servers) {
            server.zone = east;
            server.room.out = 2;
        }
        east.out = 6;
        limits.told(servers[0], 20_000);
        assertEquals(21_000, servers[0].barredUntil);
        assertEquals("4 21000", east.most + " " + east.limitedUntil);
        limits.told(servers[1], 5_000);
        assertEquals("0 6000", east.most + " " + east.limitedUntil, "two bar the location until the first opens");
        assertEquals(5_000, limits.opensIn());
        limits.now(7000);
        assertEquals(14_000, limits.opensIn());
        limits.told(servers[2], Long.MAX_VALUE);
        assertEquals(107_000, servers[2].barredUntil, "no word holds for longer than allowed");
        limits.now(200_000);
        assertEquals(0, limits.opensIn());
    }

    /** The stages of a house: what each vote makes of them, and which servers may be listed. */
    @ParameterizedTest
    @CsvSource({
        "1 2,2:0:1,2:0@1,12", "1 2,2:0:1 2:1:1,2:2@1,12", "1 2,2:0:3,2:3@0,1", "1 2,2:0:2,2:0@0,12",
        "1 2,2:1:1,2:0@0,12", "1 2 3,2:0:1,2:0@1,12", "1 2 3,2:0:1 2:1:1,3:0@0,123", "1 2 3,2:0:3,3:0@0,13",
        "1,1:0:3,1:2@0,1", "4,'',4:2@0,4"})
    void house(String builds, String votes, String stands, String listed) {
        House house = new House(new double[] {0.1, 0.5}, -1);
        Set<Integer> there = new java.util.TreeSet<>();
        for (String build : builds.split(" ")) {
            there.add(Integer.parseInt(build));
        }
        String[] stood = {""};
        House.Out out = new House.Out() {
            @Override
            public void told(int build, int phase, int stage, double cap, boolean answer, long since) {
                stood[0] = build + ":" + phase + "@" + stage;
            }

            @Override
            public void list() {
                stood[0] += "";
            }
        };
        house.listed(there);
        while (house.next(out)) {
            continue;
        }
        for (String vote : votes.isEmpty() ? new String[0] : votes.split(" ")) {
            String[] parts = vote.split(":");
            house.now(1000);
            house.voted(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
            while (house.next(out)) {
                continue;
            }
        }
        assertEquals(stands, stood[0]);
        StringBuilder admitted = new StringBuilder();
        there.stream().filter(house::admits).forEach(admitted::append);
        assertEquals(listed, admitted.toString());
    }
}
