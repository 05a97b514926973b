package honeygap.manage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.manage.host.FleetSheet;
import honeygap.manage.host.Manager;
import honeygap.manage.host.Selector;
import honeygap.net.Agent;
import honeygap.net.Flags;
import honeygap.net.Loop;
import honeygap.net.door.Door;
import honeygap.read.FlagSheet;
import honeygap.read.Fields;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ten agents with doors, and a manager, on loopback. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetTest {

    private static final int AGENTS = 10;

    @TempDir
    private Path folder;

    private final List<Instance> instances = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private Manager manager;

    /** An agent in this process, which can be ended at once and started anew at the same door. */
    private final class Instance {

        final int number;
        int port;
        Agent agent;
        Door door;
        int updates;

        Instance(int number) throws Exception {
            this.number = number;
            start(number + 1);
        }

        void start(long generation) throws Exception {
            Loop loop = new Loop();
            Flags flags = new Flags(loop, FlagSheet.of(fields("{'listen':'127.0.0.1:0','servers':[{'name':'s',"
                    + "'address':'127.0.0.1:9'}]}")), 1);
            agent = new Agent(loop, List.of(flags));
            door = new Door(loop, agent, "a" + number, folder.resolve("ledger" + number), "open", generation,
                    () -> updates++);
            agent.start();
            door.listen(new InetSocketAddress("127.0.0.1", port));
            port = door.address().getPort();
        }

        void kill() {
            agent.end();
        }

        String ledger() throws Exception {
            return ask(port, "GET", "/v1/ledger", "", "open");
        }
    }

    private static Fields fields(String words) throws Exception {
        try (JsonParser parser = new JsonFactory().createParser(words.replace('\'', '"'))) {
            return Fields.document(parser);
        }
    }

    private String ask(int port, String method, String path, String body, String token) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .version(HttpClient.Version.HTTP_1_1).method(method, body.isEmpty()
                        ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        HttpResponse<String> answer = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() + " " + answer.body();
    }

    private void agents(int many) throws Exception {
        for (int i = 0; i < many; i++) {
            instances.add(new Instance(i));
        }
    }

    private void manage() throws Exception {
        StringBuilder all = new StringBuilder();
        for (Instance one : instances) {
            all.append(all.length() > 0 ? "," : "").append("{'name':'a").append(one.number).append("','door':'127.0.0.1:")
                    .append(one.port).append("','labels':{'location':'").append(one.number % 2 == 0 ? "east" : "west")
                    .append("','build':").append(40 + one.number).append("}}");
        }
        manager = new Manager(FleetSheet.of(fields("{'listen':'127.0.0.1:0','store':'" + folder.resolve("store")
                + "','every':'100ms','answerWithin':'500ms','instances':[" + all + "]}")), "open");
        manager.start();
    }

    @AfterEach
    void end() {
        if (manager != null) {
            manager.close();
        }
        instances.forEach(Instance::kill);
    }

    private String manager(String method, String path, String body) throws Exception {
        return ask(manager.address().getPort(), method, path, body, "open");
    }

    private String operation(String id, String action, String names, int atOnce) throws Exception {
        return manager("POST", "/v1/operations", "{\"id\":\"" + id + "\",\"action\":\"" + action + "\",\"instances\":\""
                + names + "\",\"atOnce\":" + atOnce + ",\"failuresToPause\":0,\"withinMs\":4000}");
    }

    private Fields report(String id) throws Exception {
        return fields(manager("GET", "/v1/operations/" + id, "").substring(4));
    }

    private Fields ended(String id) throws Exception {
        Fields report = report(id);
        while (Set.of("RUNNING", "CANCELLING").contains(report.text("state"))) {
            Thread.sleep(20);
            report = report(id);
        }
        return report;
    }

    private String names(int many) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            names.add("a" + i);
        }
        return String.join(",", names);
    }

    /** The report against what each agent's own ledger says: none mixed, none doubled. */
    private void assertTrueToLedgers(String id, Fields report) throws Exception {
        for (Fields step : report.objects("steps")) {
            Instance one = instances.get(Integer.parseInt(step.text("instance").substring(1)));
            String ledger = Files.readString(folder.resolve("ledger" + one.number));
            int times = ledger.split("\"id\":\"" + id + "\",\"number\":\\d+,\"action\":\"(drain|update|undrain)\"", -1).length - 1;
            if (step.text("state").equals("UNKNOWN")) {
                // The report says that it does not know, and only of one that is gone.
                assertEquals("a7", step.text("instance"));
                continue;
            }
            assertEquals(step.text("state").equals("APPLIED") ? 1 : 0, times, step.text("instance") + ": "
                    + step.text("state") + ", ledger " + ledger);
        }
    }

    /** Ten agents, one killed in the middle of the command and back later: the report is what each did. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void killedMidCommand(boolean comesBack) throws Exception {
        agents(AGENTS);
        manage();
        Thread killer = new Thread(() -> {
            try {
                while (!report("op").objects("steps").stream().anyMatch(step -> {
                    try {
                        return step.text("state").equals("APPLIED");
                    } catch (Exception e) {
                        return false;
                    }
                })) {
                    Thread.sleep(1);
                }
                instances.get(7).kill();
                if (comesBack) {
                    instances.get(7).start(1007);
                }
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(operation("op", "update", names(AGENTS), 1).startsWith("200"));
        killer.start();
        Fields report = ended("op");
        killer.join();
        assertTrueToLedgers("op", report);
        int applied = 0;
        for (Fields step : report.objects("steps")) {
            applied += step.text("state").equals("APPLIED") ? 1 : 0;
        }
        assertTrue(applied >= AGENTS - 1, "applied " + applied);
        assertEquals(comesBack || applied == AGENTS ? "DONE" : "FAILED", report.text("state"));
    }

    /** The same command typed twice, by one operator or two, is one operation; another one waits its turn. */
    @Test
    void twice() throws Exception {
        agents(3);
        manage();
        assertTrue(operation("x", "update", names(3), 1).contains("\"taken\":\"NEW\""));
        assertTrue(operation("x", "update", names(3), 1).contains("\"taken\":\"SAME\""));
        assertTrue(operation("y", "update", names(3), 1).contains("\"id\":\"x\""));
        String busy = operation("z", "drain", "a2", 1);
        assertTrue(busy.startsWith("409") && busy.contains("BUSY") || busy.contains("NEW"), busy);
        assertEquals("DONE", ended("x").text("state"));
        for (Instance one : instances) {
            assertEquals(1, one.updates);
        }
        assertTrueToLedgers("x", report("x"));
    }

    /** Drained one after another, never more than the bound at once; clients see it; taken back again. */
    @Test
    void drained() throws Exception {
        agents(4);
        manage();
        operation("d", "drain", names(4), 2);
        // Two are out of service; the bound lets no third one go.
        while (!manager("GET", "/v1/fleet", "").matches("(?s).*(\"drained\":true.*){2}")) {
            Thread.sleep(10);
        }
        // The manager hears of all of them, and decides, several times more.
        for (int polls = 0; polls < 5; polls++) {
            long age = age();
            for (long next = age(); next >= age; next = age()) {
                age = next;
            }
        }
        // Which two depends on who is heard of first.
        List<Instance> out = new ArrayList<>();
        for (Instance one : instances) {
            if (ask(one.port, "GET", "/v1/inspect", "", "open").contains("\"drained\":true")) {
                out.add(one);
            }
        }
        assertEquals(2, out.size());
        Instance first = out.get(0);
        String answer = ask(first.agent.address(0).getPort(), "POST", "/ofrep/v1/evaluate/flags/a",
                "{\"context\":{}}", "");
        assertTrue(answer.startsWith("503"), answer);
        manager("POST", "/v1/operations/d/cancel", "");
        Fields report = ended("d");
        assertEquals("CANCELLED", report.text("state"));
        assertTrueToLedgers("d", report);
        operation("u", "undrain", "a" + first.number + ",a" + out.get(1).number, 2);
        assertEquals("DONE", ended("u").text("state"));
        answer = ask(first.agent.address(0).getPort(), "POST", "/ofrep/v1/evaluate/flags/a", "{\"context\":{}}", "");
        assertTrue(answer.startsWith("429"), "taken again, though no server answers: " + answer);
    }

    /** How long ago, in ms, the manager last heard of the first agent. */
    private long age() throws Exception {
        return fields(manager("GET", "/v1/fleet", "").substring(4)).objects("instances").get(0).whole("ageMs");
    }

    /** A manager that is gone in the middle and started again goes on where it was. */
    @Test
    void managerRestarted() throws Exception {
        agents(6);
        manage();
        operation("op", "update", names(6), 1);
        while (instances.get(0).updates == 0) {
            Thread.sleep(1);
        }
        manager.close();
        manage();
        Fields report = ended("op");
        assertEquals("DONE", report.text("state"));
        assertTrueToLedgers("op", report);
        for (Instance one : instances) {
            assertEquals(1, one.updates, "a" + one.number);
        }
    }

    /** What the door turns down: no token, a wrong one, what can't be read, other actions, other generations. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\0', value = {
        "GET /v1/inspect||401", "GET /v1/inspect|wrong|401", "GET /v1/inspect|open|200", "GET /v2/inspect|open|404",
        "POST /v1/command {|open|400", "POST /v1/command {}|open|400",
        "POST /v1/command {\"id\":\"a\",\"number\":\"1\",\"generation\":\"1\",\"action\":\"dance\",\"argument\":\"\"}|open|400",
        "POST /v1/command {\"id\":\"a\",\"number\":\"x\",\"generation\":\"1\",\"action\":\"drain\",\"argument\":\"\"}|open|400",
        "POST /v1/command {\"id\":\"a\",\"number\":\"1\",\"generation\":\"99\",\"action\":\"drain\",\"argument\":\"\"}|open|200 OTHER_GENERATION",
        "POST /v1/command {\"id\":\"a\",\"number\":\"1\",\"generation\":\"1\",\"action\":\"drain\",\"argument\":\"\"}|open|200 APPLY",
        "POST /v1/calloff {\"id\":\"b\",\"number\":\"2\"}|open|200 called off", "POST /v1/look {\"id\":\"c\"}|open|200"})
    void door(String request, String token, String answer) throws Exception {
        agents(1);
        String[] parts = request.split(" ", 3);
        String heard = ask(instances.get(0).port, parts[0], parts[1], parts.length > 2 ? parts[2] : "",
                token == null ? "" : token);
        for (String word : answer.split(" ")) {
            assertTrue(heard.contains(word), heard);
        }
    }

    /** A last line that was torn is dropped; one in the middle ends the start with a clear word. */
    @ParameterizedTest
    @CsvSource({"torn,true", "middle,false"})
    void ledgerFile(String what, boolean starts) throws Exception {
        Path file = folder.resolve("ledger0");
        String line = "{\"id\":\"a\",\"number\":3,\"action\":\"drain\",\"outcome\":\"done\"}\n";
        Files.writeString(file, what.equals("torn") ? line + "{\"id\":\"b\",\"num" : "{\"id\n" + line);
        try {
            agents(1);
            assertTrue(starts);
            String heard = instances.get(0).ledger();
            assertTrue(heard.contains("\"id\":\"a\"") && !heard.contains("\"id\":\"b\""), heard);
        } catch (IOException e) {
            assertTrue(!starts && e.getMessage().contains("can't be read"), e.getMessage());
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"''|01234", "location=east|024", "build<42|01", "build>=42,location=east|24",
        "name!=a3|0124", "owner=x|''", "owner!=x|01234", "location=east,,|24!", "location|!"})
    void selectors(String words, String names) {
        StringBuilder taken = new StringBuilder();
        try {
            for (int i = 0; i < 5; i++) {
                taken.append(Selector.of(words).test(Map.of("name", "a" + i, "build", "" + (40 + i), "location",
                        i % 2 == 0 ? "east" : "west")) ? "" + i : "");
            }
        } catch (IllegalArgumentException e) {
            assertTrue(names.endsWith("!") && e.getMessage().contains("column"), e.getMessage());
            return;
        }
        assertEquals(names, taken.toString());
    }
}
