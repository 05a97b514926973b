package honeygap.net.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.manage.Ledger;
import honeygap.net.Agent;
import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.connections.ClientConnections;
import honeygap.net.http.Refusal;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Map;
import org.tinylog.Logger;

/**
 * The admin endpoint, through which an agent is inspected and controlled: HTTP/1.1 with JSON on a listener of its own,
 * disabled unless configured. It runs on the agent's event loop, one request at a time. Without a token it listens on
 * loopback only. The effects of a command are in process memory, so its ledger entry is made durable first: a process
 * that dies in between has nothing to undo.
 */
public final class AdminEndpoint implements Counters.Group {

    /** The version of the admin API. */
    public static final int API_VERSION = 1;

    private static final int MAX_BODY_BYTES = 16_384;
    private static final int MAX_CONNECTIONS = 64;
    /** In tenths of a millisecond. */
    private static final long IDLE_TIMEOUT = 600_000;
    private static final int MAX_LEDGER_ENTRIES = 1000;
    private static final int BACKLOG = 64;

    private final Loop loop;
    private final Agent agent;
    private final Runnable reloadFiles;
    private final String name;
    private final byte[] token;
    private final Ledger ledger;
    private final LedgerFile ledgerFile;
    final ClientConnections connections;
    private InetSocketAddress boundAddress;
    /** Null if no requests are handled off the loop. */
    private AsyncHandler asyncHandler;
    private long appliedCommands;
    private long inspections;
    private long rejectedTokens;

    /**
     * The token may be empty. The ledger is stored at {@code ledgerPath}; {@code reloadFiles} reloads the agent's
     * files, as SIGHUP does.
     *
     * @throws IOException if the ledger cannot be read or written
     */
    public AdminEndpoint(Loop loop, Agent agent, String name, Path ledgerPath, String token, long generation,
            Runnable reloadFiles) throws IOException {
        this.loop = loop;
        this.agent = agent;
        this.name = name;
        this.reloadFiles = reloadFiles;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        ledger = new Ledger(MAX_LEDGER_ENTRIES, generation);
        ledgerFile = new LedgerFile(ledgerPath, ledger);
        connections = new ClientConnections(loop, MAX_CONNECTIONS, MAX_CONNECTIONS / 2, IDLE_TIMEOUT, new ShutdownLog(loop));
    }

    /** Sets the handler for requests off the loop; called before {@link #listen}. */
    public void asyncHandler(AsyncHandler handler) {
        this.asyncHandler = handler;
    }

    /** Returns the handler for this path off the loop, or null. */
    AsyncHandler asyncHandler(String path) {
        return asyncHandler != null && asyncHandler.handles(path) ? asyncHandler : null;
    }

    /** The maximum length of a request body. */
    int maxBodyBytes() {
        return Math.max(MAX_BODY_BYTES, asyncHandler == null ? 0 : asyncHandler.maxBodyBytes());
    }

    /** Runs a task in the next iteration of the loop; may be called from any thread. */
    void runOnLoop(Runnable task) {
        loop.post(task);
    }

    /**
     * Starts listening.
     *
     * @throws Malformed if there is no token and the address is not a loopback address
     */
    public void listen(InetSocketAddress address) throws IOException, Malformed {
        if (token.length == 0 && !address.getAddress().isLoopbackAddress()) {
            throw new Malformed("the admin endpoint must listen on a loopback address unless it has a token: " + address);
        }
        boundAddress = loop.listen(address, BACKLOG, connections.maxAcceptedConnections(), () -> new AdminConnection(this));
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return boundAddress;
    }

    /** Checks an Authorization header against the token, in constant time; null counts as empty. */
    boolean isAuthorized(String authorization) {
        if (token.length == 0) {
            return true;
        }
        byte[] presented = (authorization == null ? "" : authorization).getBytes(StandardCharsets.ISO_8859_1);
        byte[] expected = ("Bearer " + new String(token, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
        boolean isAuthorized = MessageDigest.isEqual(presented, expected);
        rejectedTokens += isAuthorized ? 0 : 1;
        return isAuthorized;
    }

    private interface Body {

        void write(JsonGenerator out) throws IOException;
    }

    private byte[] json(Body body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("version", API_VERSION);
            out.writeStringField("name", name);
            // Written as text: a generation has 64 bits, and some JSON parsers lose precision in such numbers.
            out.writeStringField("generation", Long.toString(ledger.generation()));
            body.write(out);
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    byte[] error(String message) throws IOException {
        return json(out -> out.writeStringField("error", message));
    }

    /** Returns the response body for a method and path, or throws the refusal. */
    byte[] respond(String method, String path, byte[] body) throws Refusal, IOException {
        switch (method + " " + path) {
            case "GET /v1/inspect":
                return inspect();
            case "GET /v1/ledger":
                return json(out -> {
                    out.writeArrayFieldStart("entries");
                    for (Ledger.Entry entry : ledger.entries()) {
                        writeEntry(out, entry);
                    }
                    out.writeEndArray();
                });
            case "POST /v1/command":
                return command(fields(body));
            case "POST /v1/look":
                return outcomeOf(ledger.entry(text(fields(body), "id")));
            case "POST /v1/calloff":
                JsonObject request = fields(body);
                String id = text(request, "id");
                long number = number(request, "number");
                if (ledger.entry(id) == null) {
                    ledgerFile.append(new Ledger.Entry(id, number, "", Ledger.CALLED_OFF));
                }
                return outcomeOf(ledger.callOff(id, number));
            default:
                throw new Refusal(404, "other path", "nothing is here");
        }
    }

    private static JsonObject fields(byte[] body) throws Refusal {
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            return JsonObject.parse(parser);
        } catch (Malformed | IOException e) {
            throw new Refusal(400, "not JSON", "the body is not a JSON object");
        }
    }

    private static String text(JsonObject fields, String name) throws Refusal {
        try {
            return fields.text(name);
        } catch (Malformed e) {
            throw new Refusal(400, "field", e.getMessage());
        }
    }

    private static long number(JsonObject fields, String name) throws Refusal {
        try {
            return Long.parseLong(text(fields, name));
        } catch (NumberFormatException e) {
            throw new Refusal(400, "field", "field " + name + " is not a whole number in digits");
        }
    }

    private byte[] inspect() throws IOException {
        inspections++;
        Counters counters = agent.counters();
        return json(out -> {
            out.writeBooleanField("drained", agent.isDrained());
            out.writeNumberField("clients", agent.clientConnections());
            out.writeObjectFieldStart("counters");
            for (Map.Entry<String, Map<String, Long>> group : counters.groups().entrySet()) {
                out.writeObjectFieldStart(group.getKey());
                for (Map.Entry<String, Long> counter : group.getValue().entrySet()) {
                    out.writeNumberField(counter.getKey(), counter.getValue());
                }
                out.writeEndObject();
            }
            out.writeEndObject();
        });
    }

    private static void writeEntry(JsonGenerator out, Ledger.Entry entry) throws IOException {
        out.writeStartObject();
        out.writeStringField("id", entry.id());
        out.writeStringField("number", Long.toString(entry.number()));
        out.writeStringField("action", entry.action());
        out.writeStringField("outcome", entry.outcome());
        out.writeEndObject();
    }

    private byte[] outcomeOf(Ledger.Entry entry) throws IOException {
        return json(out -> out.writeStringField("outcome", entry == null ? "" : entry.outcome()));
    }

    private byte[] command(JsonObject request) throws Refusal, IOException {
        String id = text(request, "id");
        long number = number(request, "number");
        String action = text(request, "action");
        Runnable effect = effect(action, text(request, "argument"));
        Ledger.Answer answer = ledger.decide(id, number, number(request, "generation"));
        if (answer == Ledger.Answer.APPLY) {
            appliedCommands++;
            // Made durable first: if that fails, the command is neither carried out nor remembered.
            ledgerFile.append(new Ledger.Entry(id, number, action, "done"));
            ledger.recordApplied(id, number, action, "done");
            effect.run();
            Logger.info("command {} ({}): {}", action, id, "done");
        }
        return json(out -> {
            out.writeStringField("answer", answer.name());
            out.writeStringField("outcome", ledger.entry(id) == null ? "" : ledger.entry(id).outcome());
        });
    }

    private Runnable effect(String action, String argument) throws Refusal {
        switch (action) {
            case "drain":
                return () -> agent.setDrained(true);
            case "undrain":
                return () -> agent.setDrained(false);
            case "update":
                return reloadFiles;
            default:
                throw new Refusal(400, "action", "nothing goes by the name of " + action + "; known: drain, undrain,"
                        + " update");
        }
    }

    @Override
    public void report(Counters counters) {
        connections.report(counters);
        counters.count("commands", appliedCommands);
        counters.count("inspected", inspections);
        counters.count("wrong token", rejectedTokens);
        counters.count("ledger", ledger.entries().size());
    }
}
