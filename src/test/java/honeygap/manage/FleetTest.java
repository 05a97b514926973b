package honeygap.manage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.manage.host.FleetSettings;
import honeygap.manage.host.Manager;
import honeygap.manage.host.Selector;
import honeygap.net.Agent;
import honeygap.net.FlagProtocol;
import honeygap.net.Loop;
import honeygap.net.admin.AdminEndpoint;
import honeygap.config.FlagSettings;
import honeygap.config.JsonObject;
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

/** Ten agents with admin endpoints and a manager, on loopback. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetTest {

    private static final int AGENT_COUNT = 10;

    @TempDir
    private Path folder;

    private final List<Instance> instances = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();
    private Manager manager;

    /** An agent in this process that can be stopped abruptly and restarted on the same port. */
    private final class Instance {

        final int number;
        int port;
        Agent agent;
        AdminEndpoint adminEndpoint;
        int updates;

        Instance(int number) throws Exception {
            this.number = number;
            start(number + 1);
        }

        void start(long generation) throws Exception {
            Loop loop = new Loop();
            FlagProtocol flags = new FlagProtocol(loop, FlagSettings.parse(fields("{'listen':'127.0.0.1:0','servers':[{'name':'s',"
                    + "'address':'127.0.0.1:9'}]}")), 1);
            agent = new Agent(loop, List.of(flags));
            adminEndpoint = new AdminEndpoint(loop, agent, "a" + number, folder.resolve("ledger" + number), "open", generation,
                    () -> updates++);
            agent.start();
            adminEndpoint.listen(new InetSocketAddress("127.0.0.1", port));
            port = adminEndpoint.address().getPort();
        }

        void stop() {
            agent.close();
        }

        String ledger() throws Exception {
            return send(port, "GET", "/v1/ledger", "", "open");
        }
    }

    private static JsonObject fields(String json) throws Exception {
        try (JsonParser parser = new JsonFactory().createParser(json.replace('\'', '"'))) {
            return JsonObject.parse(parser);
        }
    }

    private String send(int port, String method, String path, String body, String token) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .version(HttpClient.Version.HTTP_1_1).method(method, body.isEmpty()
                        ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
        return response.statusCode() + " " + response.body();
    }

    private void startAgents(int agentCount) throws Exception {
        for (int i = 0; i < agentCount; i++) {
            instances.add(new Instance(i));
        }
    }

    private void startManager() throws Exception {
        StringBuilder instancesJson = new StringBuilder();
        for (Instance instance : instances) {
            instancesJson.append(instancesJson.length() > 0 ? "," : "")
                    .append("{'name':'a").append(instance.number)
                    .append("','door':'127.0.0.1:").append(instance.port)
                    .append("','labels':{'location':'").append(instance.number % 2 == 0 ? "east" : "west")
                    .append("','build':").append(40 + instance.number).append("}}");
        }
        manager = new Manager(FleetSettings.of(fields("{'listen':'127.0.0.1:0','store':'" + folder.resolve("store")
                + "','every':'100ms','answerWithin':'500ms','instances':[" + instancesJson + "]}")), "open");
        manager.start();
    }

    @AfterEach
    void closeAll() {
        if (manager != null) {
            manager.close();
        }
        instances.forEach(Instance::stop);
    }

    private String sendToManager(String method, String path, String body) throws Exception {
        return send(manager.address().getPort(), method, path, body, "open");
    }

    private String startOperation(String id, String action, String names, int maxConcurrent) throws Exception {
        return sendToManager("POST", "/v1/operations", "{\"id\":\"" + id + "\",\"action\":\"" + action
                + "\",\"instances\":\""
                + names + "\",\"atOnce\":" + maxConcurrent + ",\"failuresToPause\":0,\"withinMs\":4000}");
    }

    private JsonObject operationReport(String id) throws Exception {
        return fields(sendToManager("GET", "/v1/operations/" + id, "").substring(4));
    }

    private JsonObject awaitEnd(String id) throws Exception {
        JsonObject report = operationReport(id);
        while (Set.of("RUNNING", "CANCELLING").contains(report.text("state"))) {
            Thread.sleep(20);
            report = operationReport(id);
        }
        return report;
    }

    private String names(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("a" + i);
        }
        return String.join(",", names);
    }

    /** Checks the report against each agent's own ledger: no command is attributed wrongly or applied twice. */
    private void assertMatchesLedgers(String id, JsonObject report) throws Exception {
        for (JsonObject step : report.objects("steps")) {
            Instance instance = instances.get(Integer.parseInt(step.text("instance").substring(1)));
            String ledger = Files.readString(folder.resolve("ledger" + instance.number));
            int times = ledger.split("\"id\":\"" + id + "\",\"number\":\\d+,\"action\":\"(drain|update|undrain)\"",
                    -1).length - 1;
            if (step.text("state").equals("UNKNOWN")) {
                // Only the step of the killed agent may end as unknown.
                assertEquals("a7", step.text("instance"));
                continue;
            }
            assertEquals(step.text("state").equals("APPLIED") ? 1 : 0, times, step.text("instance") + ": "
                    + step.text("state") + ", ledger " + ledger);
        }
    }

    /**
     * One of ten agents is killed during the command and, in one case, restarted: the report matches what each agent
     * did.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void killedMidCommand(boolean comesBack) throws Exception {
        startAgents(AGENT_COUNT);
        startManager();
        Thread killer = new Thread(() -> {
            try {
                while (!operationReport("op").objects("steps").stream().anyMatch(step -> {
                    try {
                        return step.text("state").equals("APPLIED");
                    } catch (Exception e) {
                        return false;
                    }
                })) {
                    Thread.sleep(1);
                }
                instances.get(7).stop();
                if (comesBack) {
                    instances.get(7).start(1007);
                }
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(startOperation("op", "update", names(AGENT_COUNT), 1).startsWith("200"));
        killer.start();
        JsonObject report = awaitEnd("op");
        killer.join();
        assertMatchesLedgers("op", report);
        int applied = 0;
        for (JsonObject step : report.objects("steps")) {
            applied += step.text("state").equals("APPLIED") ? 1 : 0;
        }
        assertTrue(applied >= AGENT_COUNT - 1, "applied " + applied);
        assertEquals(comesBack || applied == AGENT_COUNT ? "DONE" : "FAILED", report.text("state"));
    }

    /**
     * A command repeated by the same or another operator is a single operation; a conflicting one is refused
     * meanwhile.
     */
    @Test
    void repeatedCommandIsOneOperation() throws Exception {
        startAgents(3);
        startManager();
        assertTrue(startOperation("x", "update", names(3), 1).contains("\"taken\":\"NEW\""));
        assertTrue(startOperation("x", "update", names(3), 1).contains("\"taken\":\"SAME\""));
        assertTrue(startOperation("y", "update", names(3), 1).contains("\"id\":\"x\""));
        String busy = startOperation("z", "drain", "a2", 1);
        assertTrue(busy.startsWith("409") && busy.contains("BUSY") || busy.contains("NEW"), busy);
        assertEquals("DONE", awaitEnd("x").text("state"));
        for (Instance instance : instances) {
            assertEquals(1, instance.updates);
        }
        assertMatchesLedgers("x", operationReport("x"));
    }

    /**
     * Agents are drained within the limit on concurrent drains; clients are refused meanwhile, and accepted after
     * undrain.
     */
    @Test
    void drainsWithinLimit() throws Exception {
        startAgents(4);
        startManager();
        startOperation("d", "drain", names(4), 2);
        // Two agents are drained; the limit allows no third.
        while (!sendToManager("GET", "/v1/fleet", "").matches("(?s).*(\"drained\":true.*){2}")) {
            Thread.sleep(10);
        }
        // Waits until the manager has polled all agents, and made decisions, several times more.
        for (int polls = 0; polls < 5; polls++) {
            long age = reportAgeMs();
            for (long next = reportAgeMs(); next >= age; next = reportAgeMs()) {
                age = next;
            }
        }
        // Which two depends on the order of the polls.
        List<Instance> drained = new ArrayList<>();
        for (Instance instance : instances) {
            if (send(instance.port, "GET", "/v1/inspect", "", "open").contains("\"drained\":true")) {
                drained.add(instance);
            }
        }
        assertEquals(2, drained.size());
        Instance first = drained.get(0);
        String response = send(first.agent.address(0).getPort(), "POST", "/ofrep/v1/evaluate/flags/a",
                "{\"context\":{}}", "");
        assertTrue(response.startsWith("503"), response);
        sendToManager("POST", "/v1/operations/d/cancel", "");
        JsonObject report = awaitEnd("d");
        assertEquals("CANCELLED", report.text("state"));
        assertMatchesLedgers("d", report);
        startOperation("u", "undrain", "a" + first.number + ",a" + drained.get(1).number, 2);
        assertEquals("DONE", awaitEnd("u").text("state"));
        response = send(first.agent.address(0).getPort(), "POST", "/ofrep/v1/evaluate/flags/a", "{\"context\":{}}", "");
        assertTrue(response.startsWith("429"), "accepted again, though no flag server responds: " + response);
    }

    /** Age in ms of the manager's latest report of the first agent. */
    private long reportAgeMs() throws Exception {
        return fields(sendToManager("GET", "/v1/fleet", "").substring(4)).objects("instances").get(0).longValue("ageMs");
    }

    /** A manager that is closed during an operation continues it after a restart. */
    @Test
    void managerContinuesAfterRestart() throws Exception {
        startAgents(6);
        startManager();
        startOperation("op", "update", names(6), 1);
        while (instances.get(0).updates == 0) {
            Thread.sleep(1);
        }
        manager.close();
        startManager();
        JsonObject report = awaitEnd("op");
        assertEquals("DONE", report.text("state"));
        assertMatchesLedgers("op", report);
        for (Instance instance : instances) {
            assertEquals(1, instance.updates, "a" + instance.number);
        }
    }

    /**
     * Responses of the admin endpoint: missing and wrong tokens, malformed commands, unknown actions, and other
     * generations.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\0', value = {
        "GET /v1/inspect||401", "GET /v1/inspect|wrong|401", "GET /v1/inspect|open|200", "GET /v2/inspect|open|404",
        "POST /v1/command {|open|400", "POST /v1/command {}|open|400",
        "POST /v1/command {\"id\":\"a\",\"number\":\"1\",\"generation\":\"1\",\"action\":\"dance\",\"argument\":\"\"}|open|400",
        "POST /v1/command {\"id\":\"a\",\"number\":\"x\",\"generation\":\"1\",\"action\":\"drain\",\"argument\":\"\"}|open|400",
        "POST /v1/command {\"id\":\"a\",\"number\":\"1\",\"generation\":\"99\",\"action\":\"drain\",\"argument\":\"\"}"
            + "|open|200 OTHER_GENERATION",
        "POST /v1/command {\"id\":\"a\",\"number\":\"1\",\"generation\":\"1\",\"action\":\"drain\",\"argument\":\"\"}|open|200 APPLY",
        "POST /v1/calloff {\"id\":\"b\",\"number\":\"2\"}|open|200 called off",
        "POST /v1/look {\"id\":\"c\"}|open|200"})
    void adminEndpointStatus(String request, String token, String expected) throws Exception {
        startAgents(1);
        String[] parts = request.split(" ", 3);
        String response = send(instances.get(0).port, parts[0], parts[1], parts.length > 2 ? parts[2] : "",
                token == null ? "" : token);
        for (String part : expected.split(" ")) {
            assertTrue(response.contains(part), response);
        }
    }

    /**
     * A truncated last line of the ledger file is dropped; a malformed line before others fails the start with a
     * clear error.
     */
    @ParameterizedTest
    @CsvSource({"torn,true", "middle,false"})
    void damagedLedgerFile(String damage, boolean isAccepted) throws Exception {
        Path file = folder.resolve("ledger0");
        String line = "{\"id\":\"a\",\"number\":3,\"action\":\"drain\",\"outcome\":\"done\"}\n";
        Files.writeString(file, damage.equals("torn") ? line + "{\"id\":\"b\",\"num" : "{\"id\n" + line);
        try {
            startAgents(1);
            assertTrue(isAccepted);
            String ledger = instances.get(0).ledger();
            assertTrue(ledger.contains("\"id\":\"a\"") && !ledger.contains("\"id\":\"b\""), ledger);
        } catch (IOException e) {
            assertTrue(!isAccepted && e.getMessage().contains("can't be read"), e.getMessage());
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"''|01234", "location=east|024", "build<42|01", "build>=42,location=east|24",
        "name!=a3|0124", "owner=x|''", "owner!=x|01234", "location=east,,|24!", "location|!"})
    void selectors(String selector, String expected) {
        StringBuilder selected = new StringBuilder();
        try {
            for (int i = 0; i < 5; i++) {
                selected.append(Selector.of(selector).test(Map.of("name", "a" + i, "build", "" + (40 + i), "location",
                        i % 2 == 0 ? "east" : "west")) ? "" + i : "");
            }
        } catch (IllegalArgumentException e) {
            assertTrue(expected.endsWith("!") && e.getMessage().contains("column"), e.getMessage());
            return;
        }
        assertEquals(expected, selected.toString());
    }
}
