package honeygap.read;

import honeygap.DecisionEngine;
import honeygap.flags.FallbackPolicy;
import honeygap.fleet.Appliance;
import honeygap.fleet.Method;
import honeygap.terms.ColdStartSettings;
import honeygap.terms.DeskSettings;
import honeygap.terms.ExposureSettings;
import honeygap.terms.ListSettings;
import honeygap.terms.RetryLimits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Settings of the flag API, read from the operator's file; docs/flags.md describes each field. */
public final class FlagSheet {

    /** A flag server in the static list; the state is one of the constants of {@link Appliance}. */
    public record Named(String name, InetSocketAddress address, int build, String location, int state) { }

    /** The agent's name in its log; empty if not set. */
    public final String name;
    public final InetSocketAddress listen;
    public final int clients;
    public final int links;
    public final int longestBody;
    public final int longestAnswer;
    public final long step;
    public final long connectWithin;
    public final long idleClose;
    public final long retryAfterMost;
    public final boolean sharing;
    public final int keys;
    public final int cells;
    public final int keptBytes;
    public final List<FallbackPolicy> allowances = new ArrayList<>();
    /** The methods by index: evaluate one flag, evaluate all flags, track an event, track an event with a key. */
    public final List<Method> methods;
    /** The static list of servers; empty if servers come from discovery. */
    public final List<Named> servers = new ArrayList<>();
    /** Address of discovery; null if the file has a static list of servers. */
    public final InetSocketAddress list;
    public final long askWithin;
    /** Address of the release desk; null if this agent decides on rollouts alone. */
    public final InetSocketAddress desk;
    public final long callTimeout;
    public final double[] caps;
    private final int agentCount;
    private final int maxAttempts;
    private final ColdStartSettings coldTerms;
    private final ExposureSettings exposure;
    private final DeskSettings deskTerms;

    private FlagSheet(Sheet settings) {
        name = settings.text("name", "");
        listen = settings.address("listen");
        agentCount = (int) settings.whole("agents", 1, 1, 100_000);
        clients = (int) settings.whole("clients", 400, 1, 1_000_000);
        links = (int) settings.whole("links", 64, 1, 1_000_000);
        longestBody = (int) settings.whole("longestBody", 65_536, 64, 1 << 26);
        longestAnswer = (int) settings.whole("longestAnswer", 1 << 20, 64, 1 << 26);
        step = Math.max(1, settings.duration("step", "1ms"));
        connectWithin = settings.duration("connectWithin", "250ms");
        idleClose = settings.duration("idleClose", "30s");
        retryAfterMost = settings.duration("retryAfterMost", "1m");
        maxAttempts = (int) settings.whole("tries", 3, 1, 16);
        sharing = settings.bool("sharing", true);
        Sheet orderSettings = settings.part("order");
        keys = (int) orderSettings.whole("keys", 100_000, 8, 50_000_000);
        cells = (int) orderSettings.whole("cells", 65_536, 8, 50_000_000);
        orderSettings.end();
        Sheet cacheSettings = settings.part("keep");
        keptBytes = (int) cacheSettings.whole("bytes", 16 << 20, 0, 1 << 30);
        for (Sheet rule : cacheSettings.parts("flags")) {
            long cachedFor = rule.duration("cachedFor", "0s");
            long staleFor = rule.duration("staleFor", "10m");
            if (cachedFor > staleFor) {
                rule.fault("cachedFor", "a time no longer than staleFor");
            }
            allowances.add(new FallbackPolicy(rule.text("match", null), cachedFor, staleFor));
            rule.end();
        }
        cacheSettings.end();
        Sheet methodSettings = settings.part("methods");
        methods = List.of(parseMethod(methodSettings, "one", 0), parseMethod(methodSettings, "all", 1),
                parseMethod(methodSettings, "track", 2),
                parseMethod(methodSettings, "tracked", 3));
        methodSettings.end();
        Sheet listSettings = settings.part("list");
        list = settings.has("list") ? listSettings.address("address") : null;
        askWithin = listSettings.duration("askWithin", "4s");
        listSettings.end();
        Set<String> names = new HashSet<>();
        for (Sheet server : settings.parts("servers")) {
            String name = server.text("name", null);
            if (!names.add(name)) {
                server.fault("name", "a name of its own");
            }
            servers.add(new Named(name, server.address("address"),
                    (int) server.whole("build", 1, 0, Integer.MAX_VALUE), server.text("location", ""),
                    server.choice("status", "up", "draining").equals("up") ? Appliance.UP : Appliance.DRAINING));
            server.end();
        }
        if (settings.has("list") == settings.has("servers")) {
            settings.fault("servers", "either a list of servers or, in field list, where they are listed");
        }
        Sheet rollout = settings.part("rollout");
        Sheet deskSettings = rollout.part("desk");
        desk = rollout.has("desk") ? deskSettings.address("address") : null;
        callTimeout = deskSettings.duration("callTimeout", "2s");
        if (list != null && desk == null) {
            rollout.fault("desk", "an object with the desk's address, since the servers are listed elsewhere,");
        }
        long voteLifetime = deskSettings.duration("voteStands", "6s");
        int rejectionsNeeded = (int) deskSettings.whole("noes", 1, 1, 100_000);
        double votesPerSecond = deskSettings.number("votesPerS", 30, 0.001, 1e6);
        deskSettings.end();
        caps = rollout.numbers("caps", new double[] {0.1, 0.5}, 0, 1);
        if (caps.length == 0) {
            rollout.fault("caps", "a list with a share for each stage");
        }
        exposure = new ExposureSettings(caps, rollout.numbers("waves", caps, 0, 1), rollout.duration("window", "10s"),
                rollout.number("uncounted", 1, 0, 1e6), false, (int) rollout.whole("guarded", 1, 0, 100), false);
        deskTerms = new DeskSettings(DeskSettings.BY_COUNT, voteLifetime, rollout.duration("soak", "30s"), callTimeout, rejectionsNeeded,
                votesPerSecond, 0, 0);
        rollout.end();
        Sheet coldSettings = settings.part("cold");
        coldTerms = new ColdStartSettings(coldSettings.number("from", 1, 0.01, 1), coldSettings.duration("warmAfter", "0ms"),
                coldSettings.number("fallMultiple", 2, 1, 100), coldSettings.duration("tipAfter", "1s"));
        coldSettings.end();
        settings.end();
    }

    private static Method parseMethod(Sheet methodSettings, String name, int index) {
        Sheet settings = methodSettings.part(name);
        long softDeadline = settings.duration("aim", index == 1 ? "200ms" : "100ms");
        long deadline = settings.duration("deadline", "1s");
        if (softDeadline > deadline) {
            settings.fault("aim", "a time no longer than deadline");
        }
        boolean isTracked = index == 3;
        long window = isTracked ? settings.duration("window", "5s") : 0;
        int scope = isTracked && settings.choice("group", "all", "location").equals("location") ? Method.SCOPE_ZONE
                : Method.SCOPE_ALL;
        int effect = index < 2 ? Method.IDEMPOTENT : isTracked ? Method.TOKENED : Method.NON_IDEMPOTENT;
        settings.end();
        return new Method(index, effect, scope, window, softDeadline, deadline, 1, 0);
    }

    /** Reads all settings. The exception reports every error found, one per line. */
    public static FlagSheet of(Fields object) throws Malformed {
        Sheet reader = new Sheet(object);
        FlagSheet settings = new FlagSheet(reader);
        List<String> errors = reader.noted();
        if (!errors.isEmpty()) {
            throw new Malformed(String.join("\n", errors));
        }
        return settings;
    }

    /** Creates the decision engine for flag evaluation. */
    public DecisionEngine rules(long now, long seed) {
        return new DecisionEngine(now, seed, agentCount, step, methods, new RetryLimits(maxAttempts, true, retryAfterMost),
                new ListSettings(list != null, true, askWithin, 0), coldTerms, deskTerms, exposure);
    }
}
