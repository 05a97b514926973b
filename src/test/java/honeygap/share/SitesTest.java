package honeygap.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.lab.Fault;
import honeygap.lab.Gate;
import honeygap.lab.Member;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Six processes of the program in two sites, on loopback, with faults between them. */
@Timeout(120)
class SitesTest {

    private static final Pattern STANDING = Pattern.compile("\"(p[0-9])\":\"([A-Z]+)\"");
    private static final List<String> JAVA = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xms16m", "-Xmx48m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto", "-cp",
            System.getProperty("java.class.path"));

    @TempDir
    private Path folder;
    private final List<Member> members = new ArrayList<>();
    /** By caller and called, as "p0>p3". */
    private final Map<String, Fault> faults = new ConcurrentHashMap<>();
    private final Map<Integer, String> names = new ConcurrentHashMap<>();

    private void start(int many) throws IOException, InterruptedException {
        List<InetSocketAddress> seeds = new ArrayList<>();
        List<CompletableFuture<Void>> starting = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            String name = "p" + i;
            Gate gate = new Gate(to -> faults.getOrDefault(name + ">" + names.get(to.getPort()), Fault.NONE));
            Member member = new Member(name, "s" + i % 2, folder.resolve(name), gate, JAVA, List.copyOf(seeds));
            members.add(member);
            starting.add(CompletableFuture.runAsync(() -> begin(member)));
            if (i < 2) {
                // The first two are whom the others ask.
                starting.get(i).join();
                seeds.add(member.door());
            }
        }
        starting.forEach(CompletableFuture::join);
    }

    private void begin(Member member) {
        try {
            member.start();
            names.put(member.door().getPort(), member.name);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void end() throws IOException {
        for (Member member : members) {
            member.close();
        }
    }

    private Map<String, String> seenBy(Member member) {
        Map<String, String> seen = new TreeMap<>();
        try {
            Matcher matcher = STANDING.matcher(member.ask("/v1/share/members"));
            while (matcher.find()) {
                seen.put(matcher.group(1), matcher.group(2));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return seen;
    }

    private boolean allSee(List<Member> by, Member of, String standing) {
        return by.stream().allMatch(member -> member == of || standing.equals(seenBy(member).get(of.name)));
    }

    private boolean allWell() {
        return members.stream().allMatch(of -> allSee(members, of, "ALIVE"));
    }

    private void until(String what, BooleanSupplier holds) throws InterruptedException, IOException {
        long end = System.nanoTime() + 40_000_000_000L;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                StringBuilder seen = new StringBuilder(what + " has not come about: ");
                members.forEach(member -> seen.append(member.name).append(' ').append(seenBy(member)).append("; "));
                throw new AssertionError(seen + members.get(0).log("WARN") + members.get(0).log("ERROR"));
            }
            Thread.sleep(50);
        }
    }

    private long counter(Member member, String name) throws InterruptedException {
        Matcher matcher = Pattern.compile('"' + name + "\":([0-9]+)").matcher(member.ask("/v1/inspect"));
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private long raised(Member member) {
        try {
            return Math.max(0, counter(member, "generations raised"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private void cut(Fault fault, boolean bothWays) {
        for (int i = 0; i < members.size(); i++) {
            for (int j = 0; j < members.size(); j++) {
                if (i % 2 != j % 2 && (bothWays || i % 2 == 0)) {
                    faults.put("p" + i + ">p" + j, fault);
                }
            }
        }
    }

    /** Killed, back in another life at the same address, stopped and continued: each is told apart by all others. */
    @Test
    void killedStoppedAndBack() throws Exception {
        start(6);
        until("all know all", this::allWell);
        Member killed = members.get(4);
        List<Member> others = members.stream().filter(member -> member != killed).toList();
        killed.kill();
        until("the killed one is held for dead", () -> allSee(others, killed, "DEAD"));
        assertTrue(others.stream().allMatch(of -> others.stream().allMatch(by -> by == of
                || !"DEAD".equals(seenBy(by).get(of.name)))));
        killed.start();
        until("it is back", this::allWell);
        Member stopped = members.get(3);
        List<Member> running = members.stream().filter(member -> member != stopped).toList();
        stopped.signal("STOP");
        until("the stopped one is missed", () -> running.stream().allMatch(by ->
                !"ALIVE".equals(seenBy(by).get(stopped.name))));
        stopped.signal("CONT");
        until("it goes on", this::allWell);
        for (Member member : members) {
            assertEquals(0, counter(member, "locks out of order") + counter(member, "locks held over waits")
                    + counter(member, "workers died") + counter(member, "work failed"), member.name);
        }
    }

    /** Sites that can't hear each other, each kind of fault; within itself each goes on, and after the cut all is well. */
    @ParameterizedTest
    @EnumSource(value = Fault.class, names = {"RESET", "ANSWER_LOST", "SPOILT"})
    void cutAndHealed(Fault fault) throws Exception {
        start(6);
        until("all know all", this::allWell);
        cut(fault, fault != Fault.ANSWER_LOST);
        // Without any word of the other site its load is let go of, and here all stay well for each other.
        until("the cut is felt", () -> members.stream().anyMatch(member -> seenBy(member).containsValue("SUSPECT")
                || seenBy(member).containsValue("DEAD") || member(member, "cutOff\":true")));
        assertFalse(members.stream().anyMatch(by -> members.stream().anyMatch(of -> of != by
                && of.site.equals(by.site) && "DEAD".equals(seenBy(by).get(of.name)))), "dead within a site");
        faults.clear();
        until("all is well again", this::allWell);
        assertTrue(fault != Fault.SPOILT || counter(members.get(0), "spoilt") > 0);
    }

    private static boolean member(Member member, String part) {
        try {
            return member.ask("/v1/share/members").contains(part);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Two processes with one name: neither is believed over the other, and it is said. */
    @Test
    void oneNameTwice() throws Exception {
        start(2);
        until("both know each other", this::allWell);
        Member other = new Member("p1", "s1", folder.resolve("other"), new Gate(to -> Fault.NONE), JAVA,
                List.of(members.get(0).door()));
        members.add(other);
        other.start();
        until("the name is doubted", () -> "DOUBTED".equals(seenBy(members.get(0)).get("p1")));
        until("one of them has met the other", () -> raised(members.get(1)) + raised(other) > 0);
    }

    /** Bodies that are no message, too long, or of a newer form: said, counted, and nobody else is harmed. */
    @Test
    void badBodies() throws Exception {
        start(2);
        until("both know each other", this::allWell);
        Member one = members.get(0);
        String[][] bodies = {
            {"{", "400"}, {"{\"from\":\"x\",\"version\":1,\"tables\":{\"load\":{\"digest\":[[1,2,3]]}}}", "400"},
            {"{\"from\":\"x\",\"version\":1,\"tables\":{\"load\":{\"digest\":[[\"a\",\"b\",\"3\"]]}}}", "400"},
            {"{\"from\":\"x\",\"version\":9,\"more\":[1],\"tables\":{\"trips\":{\"digest\":[]}}}", "200"},
            {"x".repeat(500_000), "413"}};
        for (String[] body : bodies) {
            assertEquals(body[1], post(one, body[0]), body[0].substring(0, 1));
        }
        assertTrue(counter(one, "spoilt") >= 3 && counter(one, "newer form") >= 1);
        until("both still know each other", this::allWell);
    }

    /** A body that is announced as too long is turned down by its head: it is not sent, or its answer might get lost. */
    private static String post(Member to, String body) throws IOException {
        try (Socket socket = new Socket(to.door().getAddress(), to.door().getPort())) {
            socket.setSoTimeout(20_000);
            String head = "POST /v1/share/exchange HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n";
            socket.getOutputStream().write((head + (body.length() > 400_000 ? "" : body)).getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8).substring(9);
        }
    }
}
