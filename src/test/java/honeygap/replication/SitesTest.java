package honeygap.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.lab.Fault;
import honeygap.lab.FaultProxy;
import honeygap.lab.AgentProcess;
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

/** Six real processes in two sites, on loopback, with faults injected between them. */
@Timeout(120)
class SitesTest {

    private static final Pattern STANDING = Pattern.compile("\"(p[0-9])\":\"([A-Z]+)\"");
    private static final List<String> JAVA = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xms16m", "-Xmx48m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto", "-cp",
            System.getProperty("java.class.path"));

    @TempDir
    private Path folder;
    private final List<AgentProcess> members = new ArrayList<>();
    /** Faults by caller and callee, as "p0>p3". */
    private final Map<String, Fault> faults = new ConcurrentHashMap<>();
    private final Map<Integer, String> namesByPort = new ConcurrentHashMap<>();

    private void start(int memberCount) throws IOException, InterruptedException {
        List<InetSocketAddress> seeds = new ArrayList<>();
        List<CompletableFuture<Void>> starting = new ArrayList<>();
        for (int i = 0; i < memberCount; i++) {
            String name = "p" + i;
            FaultProxy gate = new FaultProxy(to -> faults.getOrDefault(name + ">" + namesByPort.get(to.getPort()), Fault.NONE));
            AgentProcess member = new AgentProcess(name, "s" + i % 2, folder.resolve(name), gate, JAVA, List.copyOf(seeds));
            members.add(member);
            starting.add(CompletableFuture.runAsync(() -> startMember(member)));
            if (i < 2) {
                // The first two are the seeds of the others.
                starting.get(i).join();
                seeds.add(member.adminEndpoint());
            }
        }
        starting.forEach(CompletableFuture::join);
    }

    private void startMember(AgentProcess member) {
        try {
            member.start();
            namesByPort.put(member.adminEndpoint().getPort(), member.name);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void closeMembers() throws IOException {
        for (AgentProcess member : members) {
            member.close();
        }
    }

    private Map<String, String> standingsSeenBy(AgentProcess member) {
        Map<String, String> standings = new TreeMap<>();
        try {
            Matcher matcher = STANDING.matcher(member.get("/v1/share/members"));
            while (matcher.find()) {
                standings.put(matcher.group(1), matcher.group(2));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return standings;
    }

    private boolean allObserve(List<AgentProcess> observers, AgentProcess observed, String standing) {
        return observers.stream().allMatch(member -> member == observed
                || standing.equals(standingsSeenBy(member).get(observed.name)));
    }

    private boolean allAlive() {
        return members.stream().allMatch(observed -> allObserve(members, observed, "ALIVE"));
    }

    private void awaitCondition(String description, BooleanSupplier condition)
            throws InterruptedException, IOException {
        long end = System.nanoTime() + 40_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                StringBuilder report = new StringBuilder(description + ", not reached in time: ");
                members.forEach(member -> report.append(member.name).append(' ').append(standingsSeenBy(member)).append("; "));
                throw new AssertionError(report + members.get(0).logLinesWith("WARN") + members.get(0).logLinesWith("ERROR"));
            }
            Thread.sleep(50);
        }
    }

    private long counter(AgentProcess member, String name) throws InterruptedException {
        Matcher matcher = Pattern.compile('"' + name + "\":([0-9]+)").matcher(member.get("/v1/inspect"));
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private long generationsRaised(AgentProcess member) {
        try {
            return Math.max(0, counter(member, "generations raised"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private void cutSites(Fault fault, boolean isBidirectional) {
        for (int i = 0; i < members.size(); i++) {
            for (int j = 0; j < members.size(); j++) {
                if (i % 2 != j % 2 && (isBidirectional || i % 2 == 0)) {
                    faults.put("p" + i + ">p" + j, fault);
                }
            }
        }
    }

    /**
     * A process is killed and restarted with a new generation at the same address, another is stopped and continued:
     * all others notice each of these changes.
     */
    @Test
    void killedAndStoppedProcessesReturn() throws Exception {
        start(6);
        awaitCondition("all see each other alive", this::allAlive);
        AgentProcess killed = members.get(4);
        List<AgentProcess> others = members.stream().filter(member -> member != killed).toList();
        killed.kill();
        awaitCondition("the killed process is considered dead", () -> allObserve(others, killed, "DEAD"));
        assertTrue(others.stream().allMatch(observed -> others.stream().allMatch(observer -> observer == observed
                || !"DEAD".equals(standingsSeenBy(observer).get(observed.name)))));
        killed.start();
        awaitCondition("the restarted process is alive", this::allAlive);
        AgentProcess stopped = members.get(3);
        List<AgentProcess> running = members.stream().filter(member -> member != stopped).toList();
        stopped.signal("STOP");
        awaitCondition("the stopped process is suspected", () -> running.stream().allMatch(observer ->
                !"ALIVE".equals(standingsSeenBy(observer).get(stopped.name))));
        stopped.signal("CONT");
        awaitCondition("the continued process is alive", this::allAlive);
        for (AgentProcess member : members) {
            assertEquals(0, counter(member, "locks out of order") + counter(member, "locks held over waits")
                    + counter(member, "workers died") + counter(member, "work failed"), member.name);
        }
    }

    /**
     * The sites are separated by each kind of fault: peers within a site stay alive for each other, and after the
     * partition heals all do.
     */
    @ParameterizedTest
    @EnumSource(value = Fault.class, names = {"RESET", "ANSWER_LOST", "SPOILT"})
    void partitionHeals(Fault fault) throws Exception {
        start(6);
        awaitCondition("all see each other alive", this::allAlive);
        cutSites(fault, fault != Fault.ANSWER_LOST);
        // Without contact the other site's entries expire; peers of the same site have to stay alive for each other.
        awaitCondition("the partition is detected",
                () -> members.stream().anyMatch(member -> standingsSeenBy(member).containsValue("SUSPECT")
                || standingsSeenBy(member).containsValue("DEAD") || membersContain(member, "cutOff\":true")));
        assertFalse(members.stream().anyMatch(observer -> members.stream().anyMatch(observed -> observed != observer
                && observed.site.equals(observer.site)
                && "DEAD".equals(standingsSeenBy(observer).get(observed.name)))), "dead within a site");
        faults.clear();
        awaitCondition("all are alive again", this::allAlive);
        assertTrue(fault != Fault.SPOILT || counter(members.get(0), "spoilt") > 0);
    }

    private static boolean membersContain(AgentProcess member, String expected) {
        try {
            return member.get("/v1/share/members").contains(expected);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Two processes use the same name: both are reported as in doubt, and one of them raises its generation. */
    @Test
    void duplicateNameIsDetected() throws Exception {
        start(2);
        awaitCondition("both see each other alive", this::allAlive);
        AgentProcess duplicate = new AgentProcess("p1", "s1", folder.resolve("other"), new FaultProxy(to -> Fault.NONE), JAVA,
                List.of(members.get(0).adminEndpoint()));
        members.add(duplicate);
        duplicate.start();
        awaitCondition("the name is in doubt", () -> "DOUBTED".equals(standingsSeenBy(members.get(0)).get("p1")));
        awaitCondition("one of them raises its generation",
                () -> generationsRaised(members.get(1)) + generationsRaised(duplicate) > 0);
    }

    /**
     * Malformed or oversized bodies are rejected and counted, bodies of newer format versions accepted; exchanges
     * continue.
     */
    @Test
    void invalidBodiesAreRejected() throws Exception {
        start(2);
        awaitCondition("both see each other alive", this::allAlive);
        AgentProcess receiver = members.get(0);
        String[][] bodies = {
            {"{", "400"}, {"{\"from\":\"x\",\"version\":1,\"tables\":{\"load\":{\"digest\":[[1,2,3]]}}}", "400"},
            {"{\"from\":\"x\",\"version\":1,\"tables\":{\"load\":{\"digest\":[[\"a\",\"b\",\"3\"]]}}}", "400"},
            {"{\"from\":\"x\",\"version\":9,\"more\":[1],\"tables\":{\"trips\":{\"digest\":[]}}}", "200"},
            {"x".repeat(500_000), "413"}};
        for (String[] body : bodies) {
            assertEquals(body[1], post(receiver, body[0]), body[0].substring(0, 1));
        }
        assertTrue(counter(receiver, "spoilt") >= 3 && counter(receiver, "newer form") >= 1);
        awaitCondition("both still see each other alive", this::allAlive);
    }

    /**
     * Sends a request and returns the status. A body that is announced as too long is rejected by its header and
     * therefore not sent, as the response could get lost otherwise.
     */
    private static String post(AgentProcess to, String body) throws IOException {
        try (Socket socket = new Socket(to.adminEndpoint().getAddress(), to.adminEndpoint().getPort())) {
            socket.setSoTimeout(20_000);
            String head = "POST /v1/share/exchange HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length()
                    + "\r\n\r\n";
            socket.getOutputStream().write((head + (body.length() > 400_000 ? "" : body))
                    .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8).substring(9);
        }
    }
}
