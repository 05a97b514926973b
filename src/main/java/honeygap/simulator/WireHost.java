package honeygap.simulator;

import com.fasterxml.jackson.core.JsonEncoding;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
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

/** Hosts many agents on the simulator's wire: reads one batch of events per line and writes one reply per line. */
public final class WireHost {

    /** Events of the simulator that are addressed to one agent; others are ignored, apart from Table. */
    private static final Set<String> EVENTS = Set.of("Boot", "Fleet", "NewRequest", "Left", "Fired",
            "ProbeResult", "ShipState", "Completed", "Contested", "Digest", "CrashNow", "UnderWay", "Inbox");

    private final InputStream in;
    private final OutputStream out;
    private final PrintStream err;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<Long, WireAgent> agents = new HashMap<>();
    /** Agents whose decision engine has thrown an exception; their events are ignored until they boot again. */
    private final Set<Long> failedAgents = new LinkedHashSet<>();
    private final Map<Long, List<JsonObject>> lists = new HashMap<>();
    private byte[] line = new byte[1 << 16];
    private int length;

    public WireHost(InputStream in, OutputStream out, PrintStream err) {
        this.in = in;
        this.out = new BufferedOutputStream(out, 1 << 16);
        this.err = err;
    }

    /** Serves until the end of input; returns the exit status. */
    public int run() throws IOException {
        for (long lineNumber = 1; readLine(); lineNumber++) {
            try {
                answerBatch();
            } catch (Malformed e) {
                return reportFault(lineNumber, e.getMessage());
            } catch (JsonProcessingException e) {
                return reportFault(lineNumber, "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
            }
        }
        return 0;
    }

    private int reportFault(long lineNumber, String message) {
        err.println("wirehost: line " + lineNumber + ": " + message);
        return 1;
    }

    private void answerBatch() throws IOException, Malformed {
        JsonObject batch;
        try (JsonParser parser = jsonFactory.createParser(line, 0, length)) {
            batch = JsonObject.parse(parser);
            if (parser.nextToken() != null) {
                throw new Malformed("more than one value");
            }
        }
        long now = batch.tenthsOfMs("TimeNs");
        Set<Long> affectedAgents = new LinkedHashSet<>();
        for (JsonObject event : batch.objects("msgs")) {
            handleEvent(now, event, affectedAgents);
        }
        JsonGenerator reply = jsonFactory.createGenerator(out, JsonEncoding.UTF8);
        reply.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        reply.writeStartObject();
        reply.writeArrayFieldStart("steps");
        for (Long agentId : affectedAgents) {
            writeDecisions(agentId, reply);
        }
        reply.writeEndArray();
        reply.writeEndObject();
        reply.writeRaw('\n');
        reply.close();
        out.flush();
    }

    private void handleEvent(long now, JsonObject event, Set<Long> affectedAgents) throws Malformed {
        String name = event.text("cmd");
        if (name.equals("Table")) {
            lists.put(event.longValue("Sheet"), event.objects("MembersList"));
            return;
        }
        if (!EVENTS.contains(name)) {
            return;
        }
        long agentId = event.longValue("Who");
        if (name.equals("Boot")) {
            failedAgents.remove(agentId);
            agents.put(agentId, new WireAgent(agentId, now, event.longValue("InitSeed"), event.object("BootInfo")));
            affectedAgents.add(agentId);
            return;
        }
        WireAgent agent = agents.get(agentId);
        if (name.equals("CrashNow") && (agent != null || failedAgents.contains(agentId))) {
            agents.remove(agentId);
            failedAgents.remove(agentId);
            affectedAgents.remove(agentId);
            return;
        }
        if (agent == null) {
            if (failedAgents.contains(agentId)) {
                return;
            }
            throw new Malformed("instance " + agentId + " is not running");
        }
        affectedAgents.add(agentId);
        agent.handleEvent(now, name, event, lists);
    }

    private void writeDecisions(Long agentId, JsonGenerator reply) throws IOException {
        WireAgent agent = agents.get(agentId);
        try {
            agent.writeDecisions(reply);
        } catch (RuntimeException e) {
            agents.remove(agentId);
            failedAgents.add(agentId);
            StackTraceElement origin = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            reply.writeStartObject();
            reply.writeStringField("cmd", "Bug");
            reply.writeNumberField("Who", agentId);
            reply.writeStringField("Message", e + (origin == null ? "" : " at " + origin));
            reply.writeEndObject();
        }
    }

    /** Reads one line into the buffer, without its terminator; returns false at the end of input. */
    private boolean readLine() throws IOException {
        length = 0;
        for (int c = nextByte(); c >= 0; c = nextByte()) {
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

    private int nextByte() throws IOException {
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
