package honeygap.net.door;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.manage.Ledger;
import honeygap.net.Agent;
import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.guests.Guests;
import honeygap.net.http.Refusal;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Map;
import org.tinylog.Logger;

/**
 * The door by which an agent is looked at and steered: HTTP/1.1 with JSON on a listener of its own, off unless named. All
 * of it runs on the agent's loop, a request at a time. Without a token only loopback is listened on. What a command does is
 * in the process's memory, so its entry is made durable first: a process that dies in between has nothing to undo.
 */
public final class Door implements Counters.Group {

    /** The version of what is spoken here. */
    public static final int VERSION = 1;

    private static final int LONGEST = 16_384;
    private static final int MOST = 64;
    private static final long KEPT = 600_000;
    private static final int REMEMBERED = 1000;
    private static final int BACKLOG = 64;

    private final Loop loop;
    private final Agent agent;
    private final Runnable update;
    private final String name;
    private final byte[] token;
    private final Ledger ledger;
    private final LedgerFile file;
    final Guests guests;
    private InetSocketAddress bound;
    /** Null where nothing answers beside the loop. */
    private Aside aside;
    private long commands;
    private long inspected;
    private long turnedDown;

    /**
     * The token may be empty. Entries are kept in the file; update reads the agent's files again, as SIGHUP does.
     *
     * @throws Malformed where there is no token and the address is not on loopback
     */
    public Door(Loop loop, Agent agent, String name, Path ledgerFile, String token, long generation, Runnable update)
            throws IOException {
        this.loop = loop;
        this.agent = agent;
        this.name = name;
        this.update = update;
        this.token = token.getBytes(StandardCharsets.UTF_8);
        ledger = new Ledger(REMEMBERED, generation);
        file = new LedgerFile(ledgerFile, ledger);
        guests = new Guests(loop, MOST, MOST / 2, KEPT, new ShutdownLog(loop));
    }

    /** Before anybody is listened to: what goes beside the loop. */
    public void aside(Aside aside) {
        this.aside = aside;
    }

    /** What answers this path beside the loop, or null. */
    Aside aside(String path) {
        return aside != null && aside.takes(path) ? aside : null;
    }

    /** Bodies may be so long. */
    int longest() {
        return Math.max(LONGEST, aside == null ? 0 : aside.longest());
    }

    /** From any thread: in the next turn of the loop. */
    void onLoop(Runnable task) {
        loop.post(task);
    }

    public void listen(InetSocketAddress address) throws IOException, Malformed {
        if (token.length == 0 && !address.getAddress().isLoopbackAddress()) {
            throw new Malformed("the door listens on loopback alone unless it has a token: " + address);
        }
        bound = loop.listen(address, BACKLOG, guests.places(), () -> new Visitor(this));
    }

    public InetSocketAddress address() {
        return bound;
    }

    boolean isAllowed(String authorization) {
        if (token.length == 0) {
            return true;
        }
        byte[] given = (authorization == null ? "" : authorization).getBytes(StandardCharsets.ISO_8859_1);
        byte[] wanted = ("Bearer " + new String(token, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
        boolean isAllowed = MessageDigest.isEqual(given, wanted);
        turnedDown += isAllowed ? 0 : 1;
        return isAllowed;
    }

    private interface Body {

        void write(JsonGenerator out) throws IOException;
    }

    private byte[] json(Body body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("version", VERSION);
            out.writeStringField("name", name);
            // Text: generations are 64 bits, more than some readers' numbers hold.
            out.writeStringField("generation", Long.toString(ledger.generation()));
            body.write(out);
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    byte[] error(String words) throws IOException {
        return json(out -> out.writeStringField("error", words));
    }

    /** The answer to a request: what is asked for by method and path, or a refusal. */
    byte[] answer(String method, String path, byte[] body) throws Refusal, IOException {
        switch (method + " " + path) {
            case "GET /v1/inspect":
                return inspect();
            case "GET /v1/ledger":
                return json(out -> {
                    out.writeArrayFieldStart("entries");
                    for (Ledger.Entry entry : ledger.entries()) {
                        entry(out, entry);
                    }
                    out.writeEndArray();
                });
            case "POST /v1/command":
                return command(fields(body));
            case "POST /v1/look":
                return known(ledger.entry(text(fields(body), "id")));
            case "POST /v1/calloff":
                Fields told = fields(body);
                String id = text(told, "id");
                long number = number(told, "number");
                if (ledger.entry(id) == null) {
                    file.keep(new Ledger.Entry(id, number, "", Ledger.CALLED_OFF));
                }
                return known(ledger.calledOff(id, number));
            default:
                throw new Refusal(404, "other path", "nothing is here");
        }
    }

    private static Fields fields(byte[] body) throws Refusal {
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            return Fields.document(parser);
        } catch (Malformed | IOException e) {
            throw new Refusal(400, "not JSON", "the body is not a JSON object");
        }
    }

    private static String text(Fields fields, String name) throws Refusal {
        try {
            return fields.text(name);
        } catch (Malformed e) {
            throw new Refusal(400, "field", e.getMessage());
        }
    }

    private static long number(Fields fields, String name) throws Refusal {
        try {
            return Long.parseLong(text(fields, name));
        } catch (NumberFormatException e) {
            throw new Refusal(400, "field", "field " + name + " is not a whole number in digits");
        }
    }

    private byte[] inspect() throws IOException {
        inspected++;
        Counters counters = agent.counters();
        return json(out -> {
            out.writeBooleanField("drained", agent.isDrained());
            out.writeNumberField("clients", agent.clients());
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

    private static void entry(JsonGenerator out, Ledger.Entry entry) throws IOException {
        out.writeStartObject();
        out.writeStringField("id", entry.id());
        out.writeStringField("number", Long.toString(entry.number()));
        out.writeStringField("action", entry.action());
        out.writeStringField("outcome", entry.outcome());
        out.writeEndObject();
    }

    private byte[] known(Ledger.Entry entry) throws IOException {
        return json(out -> out.writeStringField("outcome", entry == null ? "" : entry.outcome()));
    }

    private byte[] command(Fields told) throws Refusal, IOException {
        String id = text(told, "id");
        long number = number(told, "number");
        String action = text(told, "action");
        Runnable effect = effect(action, text(told, "argument"));
        Ledger.Answer answer = ledger.asked(id, number, number(told, "generation"));
        if (answer == Ledger.Answer.APPLY) {
            commands++;
            // Kept first: where that fails, nothing is carried out and nothing is remembered.
            file.keep(new Ledger.Entry(id, number, action, "done"));
            ledger.applied(id, number, action, "done");
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
                return () -> agent.drain(true);
            case "undrain":
                return () -> agent.drain(false);
            case "update":
                return update;
            default:
                throw new Refusal(400, "action", "nothing goes by the name of " + action + "; known: drain, undrain,"
                        + " update");
        }
    }

    @Override
    public void report(Counters counters) {
        guests.report(counters);
        counters.count("commands", commands);
        counters.count("inspected", inspected);
        counters.count("wrong token", turnedDown);
        counters.count("ledger", ledger.entries().size());
    }
}
