package honeygap.wire;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Hosts many agents on the simulator's wire: reads a batch a line, hands it on, writes a reply a line. */
public final class WireHost {

    private static final Set<String> EVENTS = Set.of("Boot", "Fleet", "NewRequest", "Left", "Fired",
            "ProbeResult", "ShipState", "Completed", "Contested", "Digest", "CrashNow", "UnderWay", "Inbox");

    private final InputStream in;
    private final OutputStream out;
    private final PrintStream err;
    private final JsonFactory json = new JsonFactory();
    private final Map<Long, Agent> agents = new HashMap<>();
    /** Agents whose decisions have failed; nothing more is done for them until they start anew. */
    private final Set<Long> broken = new LinkedHashSet<>();
    private final Map<Long, List<Fields>> sheets = new HashMap<>();
    private byte[] line = new byte[1 << 16];
    private int length;

    public WireHost(InputStream in, OutputStream out, PrintStream err) {
        this.in = in;
        this.out = new BufferedOutputStream(out, 1 << 16);
        this.err = err;
    }

    /** Serves until the end of input; the exit status. */
    public int run() throws IOException {
        for (long number = 1; readLine(); number++) {
            try {
                answer();
            } catch (Malformed e) {
                return fault(number, e.getMessage());
            } catch (JsonProcessingException e) {
                return fault(number, "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
            }
        }
        return 0;
    }

    private int fault(long number, String what) {
        err.println("wirehost: line " + number + ": " + what);
        return 1;
    }

    private void answer() throws IOException, Malformed {
        Fields batch;
        try (JsonParser parser = json.createParser(line, 0, length)) {
            batch = Fields.document(parser);
            if (parser.nextToken() != null) {
                throw new Malformed("more than one value");
            }
        }
        long now = batch.tenths("TimeNs");
        Set<Long> touched = new LinkedHashSet<>();
        for (Fields event : batch.objects("msgs")) {
            take(now, event, touched);
        }
        JsonGenerator reply = json.createGenerator(out, JsonEncoding.UTF8);
        reply.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        reply.writeStartObject();
        reply.writeArrayFieldStart("steps");
        for (Long who : touched) {
            decide(who, reply);
        }
        reply.writeEndArray();
        reply.writeEndObject();
        reply.writeRaw('\n');
        reply.close();
        out.flush();
    }

    private void take(long now, Fields event, Set<Long> touched) throws Malformed {
        String name = event.text("cmd");
        if (name.equals("Table")) {
            sheets.put(event.whole("Sheet"), event.objects("MembersList"));
            return;
        }
        if (!EVENTS.contains(name)) {
            return;
        }
        long who = event.whole("Who");
        if (name.equals("Boot")) {
            broken.remove(who);
            agents.put(who, new Agent(who, now, event.whole("InitSeed"), event.object("BootInfo")));
            touched.add(who);
            return;
        }
        Agent agent = agents.get(who);
        if (name.equals("CrashNow") && (agent != null || broken.contains(who))) {
            agents.remove(who);
            broken.remove(who);
            touched.remove(who);
            return;
        }
        if (agent == null) {
            if (broken.contains(who)) {
                return;
            }
            throw new Malformed("instance " + who + " is not running");
        }
        touched.add(who);
        agent.take(now, name, event, sheets);
    }

    private void decide(Long who, JsonGenerator reply) throws IOException {
        Agent agent = agents.get(who);
        try {
            agent.decide(reply);
        } catch (RuntimeException e) {
            agents.remove(who);
            broken.add(who);
            StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            reply.writeStartObject();
            reply.writeStringField("cmd", "Bug");
            reply.writeNumberField("Who", who);
            reply.writeStringField("Message", e + (at == null ? "" : " at " + at));
            reply.writeEndObject();
        }
    }

    /** Reads one line without its end into the buffer; false at the end of input. */
    private boolean readLine() throws IOException {
        length = 0;
        for (int c = next(); c >= 0; c = next()) {
            if (c == '\n') {
                return true;
            }
            if (length == line.length) {
                line = Arrays.copyOf(line, 2 * length);
            }
            line[length++] = (byte) c;
        }
        return length > 0;
    }

    private final byte[] chunk = new byte[1 << 16];
    private int chunkAt;
    private int chunkEnd;

    private int next() throws IOException {
        if (chunkAt == chunkEnd) {
            chunkEnd = in.read(chunk);
            chunkAt = 0;
            if (chunkEnd <= 0) {
                chunkEnd = 0;
                return -1;
            }
        }
        return chunk[chunkAt++] & 0xff;
    }
}
