package honeygap.read;

import honeygap.Rules;
import honeygap.flags.Allowance;
import honeygap.fleet.Appliance;
import honeygap.fleet.Method;
import honeygap.terms.Cold;
import honeygap.terms.Desk;
import honeygap.terms.Exposure;
import honeygap.terms.Listing;
import honeygap.terms.Tries;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What an operator's own file says of the flag API; docs/flags.md has each field. */
public final class FlagSheet {

    /** A flag server that the file names: a state of {@code Appliance}. */
    public record Named(String name, InetSocketAddress address, int build, String location, int state) { }

    /** The agent's in its log; empty where it has none here. */
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
    public final List<Allowance> allowances = new ArrayList<>();
    /** One flag, all flags, an event, an event with a key. */
    public final List<Method> methods;
    /** Empty where the servers are listed elsewhere. */
    public final List<Named> servers = new ArrayList<>();
    /** Null where the file names the servers. */
    public final InetSocketAddress list;
    public final long askWithin;
    /** Null where this agent's vote decides alone. */
    public final InetSocketAddress desk;
    public final long callTimeout;
    public final double[] caps;
    private final int agents;
    private final int tries;
    private final Cold cold;
    private final Exposure exposure;
    private final Desk voting;

    private FlagSheet(Sheet sheet) {
        name = sheet.text("name", "");
        listen = sheet.address("listen");
        agents = (int) sheet.whole("agents", 1, 1, 100_000);
        clients = (int) sheet.whole("clients", 400, 1, 1_000_000);
        links = (int) sheet.whole("links", 64, 1, 1_000_000);
        longestBody = (int) sheet.whole("longestBody", 65_536, 64, 1 << 26);
        longestAnswer = (int) sheet.whole("longestAnswer", 1 << 20, 64, 1 << 26);
        step = Math.max(1, sheet.duration("step", "1ms"));
        connectWithin = sheet.duration("connectWithin", "250ms");
        idleClose = sheet.duration("idleClose", "30s");
        retryAfterMost = sheet.duration("retryAfterMost", "1m");
        tries = (int) sheet.whole("tries", 3, 1, 16);
        sharing = sheet.flag("sharing", true);
        Sheet order = sheet.part("order");
        keys = (int) order.whole("keys", 100_000, 8, 50_000_000);
        cells = (int) order.whole("cells", 65_536, 8, 50_000_000);
        order.end();
        Sheet keep = sheet.part("keep");
        keptBytes = (int) keep.whole("bytes", 16 << 20, 0, 1 << 30);
        for (Sheet rule : keep.parts("flags")) {
            long cached = rule.duration("cachedFor", "0s");
            long stale = rule.duration("staleFor", "10m");
            if (cached > stale) {
                rule.fault("cachedFor", "a time no longer than staleFor");
            }
            allowances.add(new Allowance(rule.text("match", null), cached, stale));
            rule.end();
        }
        keep.end();
        Sheet kinds = sheet.part("methods");
        methods = List.of(method(kinds, "one", 0), method(kinds, "all", 1), method(kinds, "track", 2),
                method(kinds, "tracked", 3));
        kinds.end();
        Sheet listing = sheet.part("list");
        list = sheet.has("list") ? listing.address("address") : null;
        askWithin = listing.duration("askWithin", "4s");
        listing.end();
        Set<String> names = new HashSet<>();
        for (Sheet server : sheet.parts("servers")) {
            String name = server.text("name", null);
            if (!names.add(name)) {
                server.fault("name", "a name of its own");
            }
            servers.add(new Named(name, server.address("address"),
                    (int) server.whole("build", 1, 0, Integer.MAX_VALUE), server.text("location", ""),
                    server.word("status", "up", "draining").equals("up") ? Appliance.UP : Appliance.DRAINING));
            server.end();
        }
        if (sheet.has("list") == sheet.has("servers")) {
            sheet.fault("servers", "either a list of servers or, in field list, where they are listed");
        }
        Sheet rollout = sheet.part("rollout");
        Sheet office = rollout.part("desk");
        desk = rollout.has("desk") ? office.address("address") : null;
        callTimeout = office.duration("callTimeout", "2s");
        if (list != null && desk == null) {
            rollout.fault("desk", "an object with the desk's address, since the servers are listed elsewhere,");
        }
        long stands = office.duration("voteStands", "6s");
        int noes = (int) office.whole("noes", 1, 1, 100_000);
        double votes = office.number("votesPerS", 30, 0.001, 1e6);
        office.end();
        caps = rollout.numbers("caps", new double[] {0.1, 0.5}, 0, 1);
        if (caps.length == 0) {
            rollout.fault("caps", "a list with a share for each stage");
        }
        exposure = new Exposure(caps, rollout.numbers("waves", caps, 0, 1), rollout.duration("window", "10s"),
                rollout.number("uncounted", 1, 0, 1e6), false, (int) rollout.whole("guarded", 1, 0, 100), false);
        voting = new Desk(Desk.BY_COUNT, stands, rollout.duration("soak", "30s"), callTimeout, noes, votes, 0, 0);
        rollout.end();
        Sheet start = sheet.part("cold");
        cold = new Cold(start.number("from", 1, 0.01, 1), start.duration("warmAfter", "0ms"),
                start.number("fallMultiple", 2, 1, 100), start.duration("tipAfter", "1s"));
        start.end();
        sheet.end();
    }

    private static Method method(Sheet all, String name, int index) {
        Sheet sheet = all.part(name);
        long aim = sheet.duration("aim", index == 1 ? "200ms" : "100ms");
        long deadline = sheet.duration("deadline", "1s");
        if (aim > deadline) {
            sheet.fault("aim", "a time no longer than deadline");
        }
        boolean isTracked = index == 3;
        long window = isTracked ? sheet.duration("window", "5s") : 0;
        int scope = isTracked && sheet.word("group", "all", "location").equals("location") ? Method.SCOPE_ZONE
                : Method.SCOPE_ALL;
        int effect = index < 2 ? Method.IDEMPOTENT : isTracked ? Method.TOKENED : Method.NON_IDEMPOTENT;
        sheet.end();
        return new Method(index, effect, scope, window, aim, deadline, 1, 0);
    }

    /** Reads the whole of it; all that is wrong is told at once, a line each. */
    public static FlagSheet of(Fields fields) throws Malformed {
        Sheet sheet = new Sheet(fields);
        FlagSheet read = new FlagSheet(sheet);
        List<String> faults = sheet.noted();
        if (!faults.isEmpty()) {
            throw new Malformed(String.join("\n", faults));
        }
        return read;
    }

    /** The decision module for flags. */
    public Rules rules(long now, long seed) {
        return new Rules(now, seed, agents, step, methods, new Tries(tries, true, retryAfterMost),
                new Listing(list != null, true, askWithin, 0), cold, voting, exposure);
    }
}
