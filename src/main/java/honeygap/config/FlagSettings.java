package honeygap.config;

import honeygap.DecisionEngine;
import honeygap.flags.FallbackPolicy;
import honeygap.fleet.Appliance;
import honeygap.fleet.Method;
import honeygap.settings.ColdStartSettings;
import honeygap.settings.DeskSettings;
import honeygap.settings.ExposureSettings;
import honeygap.settings.ListSettings;
import honeygap.settings.RetryLimits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Settings of the flag API, read from the operator's file; docs/flags.md describes each field. */
public final class FlagSettings {

    /** A flag server in the static list; the state is one of the constants of {@link Appliance}. */
    public record StaticServer(String name, InetSocketAddress address, int build, String location, int state) { }

    /** The agent's name in its log; empty if not set. */
    public final String name;
    public final InetSocketAddress listen;
    public final int maxClients;
    public final int maxServerConnections;
    public final int maxRequestBytes;
    public final int maxResponseBytes;
    public final long tickInterval;
    public final long connectTimeout;
    public final long idleTimeout;
    public final long maxRetryAfter;
    public final boolean coalesceRequests;
    public final int maxVersionedKeys;
    public final int maxVersionCells;
    public final int cacheBytes;
    public final List<FallbackPolicy> cacheRules = new ArrayList<>();
    /** The methods by index: evaluate one flag, evaluate all flags, track an event, track an event with a key. */
    public final List<Method> methods;
    /** The static list of servers; empty if servers come from discovery. */
    public final List<StaticServer> servers = new ArrayList<>();
    /** Address of discovery; null if the file has a static list of servers. */
    public final InetSocketAddress listAddress;
    public final long listMaxAge;
    /** Address of the release desk; null if this agent decides on rollouts alone. */
    public final InetSocketAddress deskAddress;
    public final long deskCallTimeout;
    public final double[] caps;
    private final int agentCount;
    private final int maxAttempts;
    private final ColdStartSettings coldTerms;
    private final ExposureSettings exposure;
    private final DeskSettings deskTerms;

    private FlagSettings(SettingsReader settings) {
        name = settings.text("name", "");
        listen = settings.address("listen");
        agentCount = (int) settings.integer("agents", 1, 1, 100_000);
        maxClients = (int) settings.integer("clients", 400, 1, 1_000_000);
        maxServerConnections = (int) settings.integer("links", 256, 1, 1_000_000);
        maxRequestBytes = (int) settings.integer("longestBody", 65_536, 64, 1 << 26);
        maxResponseBytes = (int) settings.integer("longestAnswer", 1 << 20, 64, 1 << 26);
        tickInterval = Math.max(1, settings.duration("step", "1ms"));
        connectTimeout = settings.duration("connectWithin", "250ms");
        idleTimeout = settings.duration("idleClose", "30s");
        maxRetryAfter = settings.duration("retryAfterMost", "1m");
        maxAttempts = (int) settings.integer("tries", 3, 1, 16);
        coalesceRequests = settings.bool("sharing", true);
        SettingsReader orderSettings = settings.section("order");
        maxVersionedKeys = (int) orderSettings.integer("keys", 100_000, 8, 50_000_000);
        maxVersionCells = (int) orderSettings.integer("cells", 65_536, 8, 50_000_000);
        orderSettings.rejectUnknownFields();
        SettingsReader cacheSettings = settings.section("keep");
        cacheBytes = (int) cacheSettings.integer("bytes", 16 << 20, 0, 1 << 30);
        for (SettingsReader rule : cacheSettings.sections("flags")) {
            long cachedFor = rule.duration("cachedFor", "0s");
            long staleFor = rule.duration("staleFor", "10m");
            if (cachedFor > staleFor) {
                rule.reportExpected("cachedFor", "a time no longer than staleFor");
            }
            cacheRules.add(new FallbackPolicy(rule.text("match", null), cachedFor, staleFor));
            rule.rejectUnknownFields();
        }
        cacheSettings.rejectUnknownFields();
        SettingsReader methodSettings = settings.section("methods");
        methods = List.of(parseMethod(methodSettings, "one", 0), parseMethod(methodSettings, "all", 1),
                parseMethod(methodSettings, "track", 2),
                parseMethod(methodSettings, "tracked", 3));
        methodSettings.rejectUnknownFields();
        SettingsReader listSettings = settings.section("list");
        listAddress = settings.has("list") ? listSettings.address("address") : null;
        listMaxAge = listSettings.duration("askWithin", "4s");
        listSettings.rejectUnknownFields();
        Set<String> names = new HashSet<>();
        for (SettingsReader server : settings.sections("servers")) {
            String name = server.text("name", null);
            if (!names.add(name)) {
                server.reportExpected("name", "a name of its own");
            }
            servers.add(new StaticServer(name, server.address("address"),
                    (int) server.integer("build", 1, 0, Integer.MAX_VALUE), server.text("location", ""),
                    server.choice("status", "up", "draining").equals("up") ? Appliance.UP : Appliance.DRAINING));
            server.rejectUnknownFields();
        }
        if (settings.has("list") == settings.has("servers")) {
            settings.reportExpected("servers", "either a list of servers or, in field list, where they are listed");
        }
        SettingsReader rollout = settings.section("rollout");
        SettingsReader deskSettings = rollout.section("desk");
        deskAddress = rollout.has("desk") ? deskSettings.address("address") : null;
        deskCallTimeout = deskSettings.duration("callTimeout", "2s");
        if (listAddress != null && deskAddress == null) {
            rollout.reportExpected("desk", "an object with the desk's address, since the servers are listed elsewhere,");
        }
        long voteLifetime = deskSettings.duration("voteStands", "6s");
        int rejectionsNeeded = (int) deskSettings.integer("noes", 1, 1, 100_000);
        double votesPerSecond = deskSettings.number("votesPerS", 30, 0.001, 1e6);
        deskSettings.rejectUnknownFields();
        caps = rollout.numbers("caps", new double[] {0.1, 0.5}, 0, 1);
        if (caps.length == 0) {
            rollout.reportExpected("caps", "a list with a share for each stage");
        }
        exposure = new ExposureSettings(caps, rollout.numbers("waves", caps, 0, 1), rollout.duration("window", "10s"),
                rollout.number("uncounted", 1, 0, 1e6), false, (int) rollout.integer("guarded", 1, 0, 100), false);
        deskTerms = new DeskSettings(DeskSettings.BY_COUNT, voteLifetime, rollout.duration("soak", "30s"),
                deskCallTimeout, rejectionsNeeded, votesPerSecond, 0, 0);
        rollout.rejectUnknownFields();
        SettingsReader coldSettings = settings.section("cold");
        coldTerms = new ColdStartSettings(coldSettings.number("from", 1, 0.01, 1), coldSettings.duration("warmAfter", "0ms"),
                coldSettings.number("fallMultiple", 2, 1, 100), coldSettings.duration("tipAfter", "1s"));
        coldSettings.rejectUnknownFields();
        settings.rejectUnknownFields();
    }

    private static Method parseMethod(SettingsReader methodSettings, String name, int index) {
        SettingsReader settings = methodSettings.section(name);
        long softDeadline = settings.duration("aim", index == 1 ? "200ms" : "100ms");
        long deadline = settings.duration("deadline", "1s");
        if (softDeadline > deadline) {
            settings.reportExpected("aim", "a time no longer than deadline");
        }
        boolean isTracked = index == 3;
        long window = isTracked ? settings.duration("window", "5s") : 0;
        int scope = isTracked && settings.choice("group", "all", "location").equals("location") ? Method.SCOPE_ZONE
                : Method.SCOPE_ALL;
        int effect = index < 2 ? Method.IDEMPOTENT : isTracked ? Method.TOKENED : Method.NON_IDEMPOTENT;
        settings.rejectUnknownFields();
        return new Method(index, effect, scope, window, softDeadline, deadline, 1, 0);
    }

    /** Reads all settings. The exception reports every error found, one per line. */
    public static FlagSettings parse(JsonObject object) throws Malformed {
        SettingsReader reader = new SettingsReader(object);
        FlagSettings settings = new FlagSettings(reader);
        List<String> errors = reader.errors();
        if (!errors.isEmpty()) {
            throw new Malformed(String.join("\n", errors));
        }
        return settings;
    }

    /** Creates the decision engine for flag evaluation. */
    public DecisionEngine rules(long now, long seed) {
        return new DecisionEngine(now, seed, agentCount, tickInterval, methods, new RetryLimits(maxAttempts, true, maxRetryAfter),
                listSettings(), coldTerms, deskTerms, exposure);
    }

    /** Only discovery reports drains; a static list is valid until the file is read again. */
    private ListSettings listSettings() {
        boolean isDiscovered = listAddress != null;
        return new ListSettings(isDiscovered, true, listMaxAge, isDiscovered ? DeploymentSettings.MAX_PROPAGATION_DELAY : 0);
    }
}
