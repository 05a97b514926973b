package honeygap.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import honeygap.DecisionHandler;
import honeygap.DecisionEngine;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Zone;
import honeygap.fleet.Method;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;
import honeygap.config.DeploymentSettings;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One agent on the simulator's wire: maps ids to objects, passes on events and writes the engine's decisions. */
final class WireAgent implements DecisionHandler {

    private final long id;
    private final DecisionEngine rules;
    private final List<Method> methods;
    private final Map<String, Rpc> rpcs = new HashMap<>();
    private final Map<Long, Appliance> appliances = new HashMap<>();
    private final Map<Integer, Build> builds = new HashMap<>();
    private final Map<Integer, Tenant> tenants = new HashMap<>();
    private final Map<Integer, Zone> locations = new HashMap<>();
    private long now;
    private RuntimeException failure;
    private JsonGenerator out;

    WireAgent(long id, long now, long seed, JsonObject info) throws Malformed {
        this.id = id;
        this.now = now;
        methods = DeploymentSettings.methods(info);
        rules = DeploymentSettings.rules(now, seed, methods, info, DeploymentSettings.simulatorListing(info));
    }

    /** Applies one event. An exception in the decision engine is saved for the reply; a malformed event is thrown. */
    void handleEvent(long now, String name, JsonObject event, Map<Long, List<JsonObject>> lists) throws Malformed {
        if (failure != null) {
            return;
        }
        try {
            this.now = now;
            rules.advanceClock(now);
            dispatch(now, name, event, lists);
        } catch (RuntimeException e) {
            failure = e;
        }
    }

    private void dispatch(long now, String name, JsonObject event, Map<Long, List<JsonObject>> lists) throws Malformed {
        switch (name) {
            case "NewRequest":
                Rpc rpc = new Rpc(event.text("Xid"), method(event),
                        tenants.computeIfAbsent(event.intValue("UserGroup", 0), n -> new Tenant()),
                        event.text("NameKey", null), now, now + event.tenthsOfMs("TimeBudgetNs"),
                        event.tenthsOfMs("SizeHintNs", 0), event.bool("Retry", false));
                rpcs.put(rpc.id, rpc);
                rules.rpcReceived(rpc);
                break;
            case "Completed":
                completed(event);
                break;
            case "Left":
                Rpc abandoned = rpcs.get(event.text("Xid"));
                if (abandoned != null) {
                    rules.clientDisconnected(abandoned);
                    removeIfDone(abandoned);
                }
                break;
            case "Fleet":
                applyList(event, lists);
                break;
            case "ShipState":
                rules.rolloutReported(build(event.intValue("Image", 0)), event.intValue("Phase", 0), event.intValue("Tranche", 0),
                        event.doubleValue("Exposure", 0), event.intValue("Sense", 0) == 1,
                        now - event.tenthsOfMs("LatenessNs", 0), event.intValue("Reason"));
                break;
            case "Digest":
                rules.countsReceived(build(event.intValue("Image")), method(event), event.longValue("Many"),
                        event.longValue("Bad"), event.tenthsOfMs("LagNs", 0), event.tenthsOfMs("LatenessNs", 0));
                break;
            case "Contested":
                rules.wrongAnswerReported(appliance(event.longValue("Appliance")), method(event),
                        event.tenthsOfMs("LatenessNs", 0));
                break;
            case "Fired":
                rules.wakeUpReceived();
                break;
            default:
                break;
        }
    }

    private void completed(JsonObject event) throws Malformed {
        Rpc rpc = rpcs.get(event.text("Xid"));
        if (rpc == null) {
            return;
        }
        int pickIndex = event.intValue("Go");
        if (pickIndex >= rpc.picks.size()) {
            throw new Malformed("attempt " + pickIndex + " was never sent");
        }
        rules.pickEnded(rpc, pickIndex, event.intValue("Reason"), event.bool("NoMore", false), event.tenthsOfMs("LagNs"));
        removeIfDone(rpc);
    }

    private void applyList(JsonObject event, Map<Long, List<JsonObject>> lists) throws Malformed {
        String mode = event.text("Mode");
        if (mode.equals("error")) {
            rules.listCallFailed();
            return;
        }
        long listId = event.longValue("Sheet");
        if (!lists.containsKey(listId)) {
            throw new Malformed("list " + listId + " was not sent");
        }
        rules.listStarted(!mode.equals("diff"), mode.equals("disk"));
        for (JsonObject entry : lists.get(listId)) {
            rules.applianceListed(appliance(entry.longValue("Appliance")), build(entry.roundedInt("Edition")),
                    location(entry.intValue("RegionPart", 0)), entry.intValue("Pack", 0),
                    parseState(entry.text("Availability")),
                    entry.longValue("LastStartNs", 0) == 0 ? Fleet.LONG_AGO : entry.tenthsOfMs("LastStartNs"));
        }
        rules.listCompleted();
    }

    private static int parseState(String text) throws Malformed {
        switch (text) {
            case "up":
                return Appliance.UP;
            case "draining":
                return Appliance.DRAINING;
            case "removed":
                return Appliance.REMOVED;
            default:
                throw new Malformed("unknown Availability " + text);
        }
    }

    private Method method(JsonObject event) throws Malformed {
        int index = event.intValue("Category");
        if (index >= methods.size()) {
            throw new Malformed("unknown Category " + index);
        }
        return methods.get(index);
    }

    private Appliance appliance(long id) {
        return appliances.computeIfAbsent(id, Appliance::new);
    }

    private Zone location(int index) {
        return locations.computeIfAbsent(index, n -> new Zone());
    }

    private Build build(int number) {
        builds.values().removeIf(build -> build.isRemoved);
        return builds.computeIfAbsent(number, n -> new Build(n, methods.size()));
    }

    /** Removes an RPC that is closed and has no picks in flight. */
    private void removeIfDone(Rpc rpc) {
        if (rpc.closed && rpc.inFlight == 0) {
            rpcs.remove(rpc.id);
        }
    }

    /** Writes all pending decisions; throws the saved exception if the engine has failed. */
    void writeDecisions(JsonGenerator reply) throws IOException {
        if (failure != null) {
            throw failure;
        }
        out = reply;
        try {
            boolean hasMore = true;
            while (hasMore) {
                hasMore = rules.nextDecision(this);
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    @Override
    public void sendPick(Rpc rpc, Appliance appliance, long within) {
        int index = rpc.picks.size() - 1;
        rules.beginSending(rpc, index);
        rules.pickWritten(rpc, index, now);
        write("PassOn", () -> {
            out.writeStringField("Xid", rpc.id);
            out.writeNumberField("Appliance", appliance.id);
            out.writeNumberField("WithinNs", within * JsonObject.NANOS_PER_TENTH_MS);
        });
    }

    @Override
    public void pushBack(Rpc rpc, long retryAfter) {
        write("TurnAway", () -> {
            out.writeStringField("Xid", rpc.id);
            out.writeNumberField("NotBeforeForNs", retryAfter * JsonObject.NANOS_PER_TENTH_MS);
        });
        removeIfDone(rpc);
    }

    @Override
    public void abort(Rpc rpc) {
        write("DropRequest", () -> out.writeStringField("Xid", rpc.id));
        removeIfDone(rpc);
    }

    @Override
    public void cancelPick(Rpc rpc, int pick) {
        write("CallOff", () -> {
            out.writeStringField("Xid", rpc.id);
            out.writeNumberField("Go", pick);
        });
    }

    @Override
    public void probe(Appliance appliance) {
        write("HealthCheck", () -> out.writeNumberField("Appliance", appliance.id));
    }

    @Override
    public void castVote(Build build, int stage, int verdict) {
        write("Ruling", () -> {
            out.writeNumberField("Image", build.number);
            out.writeNumberField("Tranche", stage);
            out.writeNumberField("Sense", verdict);
        });
    }

    @Override
    public void watchList() {
        write("Tail", () -> out.writeBooleanField("Active", true));
    }

    @Override
    public void fetchList() {
        write("Snapshot", () -> { });
    }

    @Override
    public void wakeAfter(long delay) {
        write("SetAlarm", () -> {
            out.writeNumberField("FromNowNs", delay * JsonObject.NANOS_PER_TENTH_MS);
            out.writeNumberField("Token", 0);
        });
    }

    @Override
    public void logNote(String message) {
        write("Emit", () -> out.writeStringField("Message", message));
    }

    private interface BodyWriter {
        void write() throws IOException;
    }

    private void write(String name, BodyWriter body) {
        try {
            out.writeStartObject();
            out.writeStringField("cmd", name);
            out.writeNumberField("Who", id);
            body.write();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
