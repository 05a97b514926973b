package honeygap;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Location;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.fleet.Room;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The decision module: everything that one agent decides. The host tells it what happened ({@link #now}, then
 * {@link #taken}, {@link #ended}, {@link #listed}, {@link #told} and the like), which only updates what is
 * known, and then pulls decisions with {@link #next} until there is none. Decisions go out by {@link Ctl}.
 * Times are whole tenths of a millisecond. docs/design.md says what comes from which part of the paper.
 */
public final class Rules {

    public static final long LONG_AGO = Long.MIN_VALUE / 4;
    public static final int FIRST_VOICE = 0, BY_COUNT = 1, AUTOMATIC = 2;

    private static final String[] VERDICTS = {"takes its vote away", "votes on", "votes hold", "votes back"};
    private static final long SECOND = 10_000, SPREAD = 0x9E3779B97F4A7C15L;

    private static final double BACK_CHANCE = 0.95;
    private static final double HOLD_CHANCE = 0.8;
    private static final double ON_CHANCE = 0.65;
    /** The desk's counts must be surer: picks that jam together are no independent events. */
    private static final double COUNTED_CHANCE = 0.98;
    private static final int FAILURES_TO_JUDGE = 3;
    /** A trial build may fail this many times as much, since it carries more than its machines' share. */
    private static final double TOLERATED = 2;
    /** Times its own picks that the desk must sample for its counts to join, and failures beneath notice. */
    private static final double SAMPLED_TO_JOIN = 2;
    private static final double BENEATH_NOTICE = 0.02;
    /** Times the least duration of a stage that a vote for it waits. */
    private static final double ON_SOAKS = 1.5;
    /** Picks of the stage that must have ended at the build for 'on', and waits after which none need. */
    private static final int ENOUGH = 8, UNSEEN_WAITS = 2;
    /** Times the usual past which an answer is an event of the second effect. */
    private static final double FAR_PAST = 3;
    /** What is kept of its new arm each second, and how many waits it must last to send a build back. */
    private static final double SLOWED_KEPT = 0.5;
    private static final int SLOWED_WAITS = 2;
    /** Times the RPCs taken when the build came, beyond which slowness is the traffic's, not the build's. */
    private static final double BURST = 1.5;

    /** Part of the time left to the soft deadline after which a pick that may be repeated is given up. */
    private static final double PATIENCE = 0.6;
    /** A further pick must still have this many times the method's usual time before the soft deadline. */
    private static final double ROOM_FOR_MORE = 1.5;
    /** Further picks after ones that may have run, as a share of the RPCs taken: they must not feed a jam. */
    private static final double FURTHER_SHARE = 0.1;
    private static final double FURTHER_MOST = 10;
    private static final double FADE = 1.0 / 32;
    /** Share of a customer's picks that must fail at earlier builds before its failures say nothing. */
    private static final double HOPELESS = 0.2;
    private static final double WAY_FADE = 1.0 / 8;
    private static final double RATE_FADE = 1.0 / 3;
    /** Picks an appliance may hold of this agent at first; in part while it is cold. */
    private static final double LIMIT_START = 8;
    /** Part of the soft deadline past which answers tell of a jam, their share that room bears, the cut. */
    private static final double JAM = 0.5;
    private static final double JAM_SHARE = 0.2;
    private static final double ROOM_CUT = 0.5;
    /** What is left of the room at first even in a jam; a new build's, against what warm appliances hold. */
    private static final double ROOM_LEAST = 0.25, TRIAL_START = 3;
    /** Part of the soft deadline for which an RPC waits for a place before it is pushed back. */
    private static final double HELD = 0.05;
    /** How much of what a cold appliance can bear is used: chance, and work that was not foreseen. */
    private static final double COLD_SAFETY = 0.6;
    /** Silent picks in a row before an appliance is left out, and for how many usual times of its methods. */
    private static final int SILENT_TO_LEAVE = 2;
    private static final double AWAY_USUALS = 8;

    /** Picks of one RPC at most, and whether and how long clients heed being told to stay away. */
    public record Tries(int most, boolean stayAwayHeard, long stayAwayMost) { }

    /** The appliance list: whether it must be asked, and how long it may go unasked. */
    public record Listing(boolean asked, long askWithin) { }

    /** A cold appliance: what it starts from, when it is warm, and what pushes it over. */
    public record Cold(double from, long warmAfter, double fallMultiple, long tipAfter) { }

    /** The desk: what votes do, how long they and stages last, time-out, voices to send back, counts. */
    public record Desk(int gate, long voteStands, long soak, long callTimeout, int noes, double votesPerS,
                       double sampledShare) { }

    /** Exposure: cap and share of the fleet by stage, and how picks are counted. */
    public record Exposure(double[] caps, double[] waves, long window, double uncounted, boolean perMethod,
                           int shielded, boolean keysStay) { }

    private final long seed;
    private long counter, now;
    private final int agents;
    private final long tick;
    private final long onWait;
    private final boolean deskCounts;
    private final List<Method> methods;
    private final Tries tries;
    private final Listing listing;
    private final Cold cold;
    private final Desk desk;
    private final Exposure exposure;

    private final List<Appliance> fleet = new ArrayList<>();
    private final List<Location> zones = new ArrayList<>();
    private final List<Build> builds = new ArrayList<>();
    private final ArrayDeque<Rpc> todo = new ArrayDeque<>();
    private final ArrayDeque<Rpc> held = new ArrayDeque<>();
    private long wokenFor = Long.MAX_VALUE;
    private double further = FURTHER_MOST;

    public Rules(long now, long seed, int agents, long tick, List<Method> methods, Tries tries,
                 Listing listing, Cold cold, Desk desk, Exposure exposure) {
        this.now = now;
        this.seed = seed;
        this.agents = Math.max(1, agents);
        this.tick = Math.max(1, tick);
        this.methods = methods;
        this.tries = tries;
        this.listing = listing;
        this.cold = cold;
        this.desk = desk;
        this.exposure = exposure;
        onWait = (long) (ON_SOAKS * desk.soak);
        deskCounts = agents * desk.sampledShare >= SAMPLED_TO_JOIN;
        this.slowed = new Fit(methods.size());
        this.wrong = new Fit(2 * methods.size());
        for (int i = 0; i < (exposure.perMethod ? methods.size() : 1); i++) {
            takenAt.add(new ArrayDeque<>());
        }
    }

    public void now(long now) {
        if (now != this.now) {
            this.now = now;
            todo.addAll(held);
            held.clear();
        }
    }

    public void woken() {
        wokenFor = Long.MAX_VALUE;
    }

    public void taken(Rpc rpc) {
        further = Math.min(FURTHER_MOST, further + FURTHER_SHARE);
        ArrayDeque<Long> times = takenAt.get(exposureGroup(rpc.method));
        times.addLast(now);
        while (times.peekFirst() < now - exposure.window) {
            times.removeFirst();    // Also while no build is on trial, or they would pile up for ever.
        }
        rpc.method.work += Math.max(FADE, 1.0 / ++rpc.method.taken) * (rpc.work - rpc.method.work);
        takenWork += cost(rpc);
        first += rpc.retry ? 0 : 1;
        todo.addLast(rpc);
    }

    public void left(Rpc rpc) {
        rpc.closed = true;
    }

    /** A pick ended; the time that it took is the wire's, since an agent that stalled reads it late. */
    public void ended(Rpc rpc, int index, int outcome, boolean closed, long lag) {
        Pick pick = rpc.picks.get(index);
        if (pick.outcome != Pick.OUT) {
            return;
        }
        Appliance appliance = pick.appliance;
        judge(pick, outcome);
        lateness(pick, outcome, lag);
        pick.outcome = outcome;
        rpc.out--;
        pick.build.room.out--;
        appliance.room.out--;
        pick.zone.out--;
        pick.build.inFlight[rpc.method.index]--;
        pick.build.warmInFlight[rpc.method.index] -= pick.cold ? 0 : 1;
        way(appliance.zone, rpc, outcome, lag);
        pace(pick, outcome, lag);
        if (outcome == Pick.OK) {
            answered(pick, lag);
        } else if (outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED
                || outcome == Pick.ERROR && odd(appliance)) {
            silence(appliance, rpc.method);
        } else if (outcome != Pick.CANCELLED && outcome != Pick.MOOT) {
            appliance.silent = 0;
        }
        rpc.closed |= closed;
        if (!rpc.closed && rpc.out == 0) {
            todo.addLast(rpc);
        }
    }

    private void answered(Pick pick, long lag) {
        Appliance appliance = pick.appliance;
        Method method = pick.rpc.method;
        appliance.silent = 0;
        appliance.awayUntil = LONG_AGO;
        if (method.usual > 0) {
            appliance.pace += 2 * FADE * (lag / expected(pick.rpc) - appliance.pace);
        }
        if (!pick.cold && !onTrial(pick.build)) {
            method.answers++;
            method.usual += Math.max(FADE, 1.0 / method.answers) * (lag - method.usual);
        }
        warmWork += pick.cold ? 0 : cost(pick.rpc);
    }

    /**
     * Room for picks at an appliance and at all of a build, since one pick of each of hundreds of agents is a
     * jam. It shrinks while over a share of the answers is late; under one pick there are rests.
     * Guards against a jam, whatever made it: overload, a burst, slowness of one or all, a new build's few
     * appliances. Harm: what is late for other reasons: early give-ups, silence, slow ways do not count.
     */
    private void pace(Pick pick, int outcome, long lag) {
        Appliance appliance = pick.appliance;
        boolean jam = outcome == Pick.FULL || lag > JAM * pick.rpc.method.softDeadline * heaviness(pick.rpc)
                && (outcome == Pick.OK || outcome == Pick.TIMEOUT && appliance.silent == 0)
                && !away(appliance.zone);
        if (jam || outcome == Pick.OK) {
            adapt(pick.build.room, jam, lag);
            adapt(appliance.room, jam, lag);
        }
    }

    private void adapt(Room room, boolean jam, long lag) {
        double most = room.each * room.appliances;
        double step = ROOM_CUT / Math.max(1, most);
        if (jam) {
            room.each = Math.max(room.least, room.each * (1 - step));
        } else if (room.out + 1 >= most / 2) {
            room.each *= 1 + step * JAM_SHARE / (1 - JAM_SHARE);
        }
        room.restUntil = now + (long) (lag * (1 / Math.min(1, room.each * room.appliances) - 1));
    }

    private boolean free(Room room) {
        return room.out < room.each * room.appliances && (room.out > 0 || now >= room.restUntil);
    }

    /** How the way to a location is, by what comes back from there and what does not. */
    private void way(Location zone, Rpc rpc, int outcome, long lag) {
        boolean isOk = outcome == Pick.OK;
        if (rpc.method.usual > 0 && (isOk || outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED)) {
            double seen = Math.max(lag / expected(rpc), isOk ? 0 : 2 * FAR_PAST);
            zone.pace += WAY_FADE * (Math.min(seen, 4 * FAR_PAST) - zone.pace);
        }
    }

    /**
     * A location whose answers take far longer than the best one's is left out but for a pick now and then.
     * Guards against slow, lossy or cut links and slowness of one place. Harm: the others carry its part.
     */
    private boolean away(Location zone) {
        return zones.stream().anyMatch(other -> zone.pace > FAR_PAST * other.pace);
    }

    private void silence(Appliance appliance, Method method) {
        appliance.silent++;
        if (appliance.silent >= SILENT_TO_LEAVE) {
            double usuals = AWAY_USUALS * (1 << Math.min(3, appliance.silent - SILENT_TO_LEAVE));
            appliance.awayUntil = now + (long) (usuals * Math.max(method.usual, method.softDeadline / 4));
        }
    }

    /**
     * The effect theta of one build on trial: Breslow partial likelihood over events with the risk sets o_old
     * and o_new at each, and a normal prior with mean 0 and variance 1. Newton finds the one maximum.
     */
    static final class Fit {

        // Event j: failures, of them on the new build, and the two risk sets. The first are grouped ones.
        private double[][] risk = {};
        private int size;
        private double events, ofNew, mode;
        private double curvature = 1;
        private boolean stale;

        Fit(int groups) {
            open(groups);
        }

        void event(double oOld, double oNew, boolean isNew) {
            int at = open(1);
            add(at, false, oOld, 0);
            add(at, true, oNew, 0);
            add(at, isNew, 0, 1);
        }

        /** Opens groups of tied events; the number of the first. */
        int open(int groups) {
            if (size + groups > risk.length) {
                risk = Arrays.copyOf(risk, 2 * (size + groups));
            }
            for (int i = 0; i < groups; i++) {
                risk[size++] = new double[4];
            }
            return size - groups;
        }

        /** Adds to a group so many at risk and so many of them failed. */
        void add(int group, boolean isNew, double many, double bad) {
            risk[group][isNew ? 3 : 2] += many;
            risk[group][0] += bad;
            risk[group][1] += isNew ? bad : 0;
            events += bad;
            ofNew += isNew ? bad : 0;
            stale = true;
        }

        /** Forgets part of the new arm of all groups, and of what failed there; the old arm stays. */
        void fade(double keep) {
            for (int i = 0; i < size; i++) {
                risk[i][0] -= (1 - keep) * risk[i][1];
                risk[i][1] *= keep;
                risk[i][3] *= keep;
            }
            events -= (1 - keep) * ofNew;
            ofNew *= keep;
            stale = true;
        }

        @Override
        public String toString() {
            return String.format("%.0f of %.0f, theta %.2f +- %.2f", ofNew, events, mode(), spread());
        }

        double mode() {
            solve();
            return mode;
        }

        double spread() {
            solve();
            return 1 / Math.sqrt(curvature);
        }

        /** Chance that the build on trial fails more than this many times as much as the earlier one. */
        double worse(double times) {
            double x = (-Math.log(times) - mode()) / spread();
            // The standard normal distribution function (Abramowitz and Stegun 26.2.17).
            double t = 1 / (1 + 0.2316419 * Math.abs(x));
            double tail = Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI) * t * (0.319381530 + t * (-0.356563782
                    + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
            return x > 0 ? 1 - tail : tail;
        }

        private void solve() {
            if (!stale) {
                return;
            }
            stale = false;
            double theta = mode;
            for (int i = 0; i < 50; i++) {
                double slope = -ofNew - theta;
                curvature = 1;
                double ratio = Math.exp(-theta);
                for (int j = 0; j < size; j++) {
                    double all = risk[j][2] + risk[j][3] * ratio;
                    double part = all > 0 ? risk[j][3] * ratio / all : 0;
                    slope += risk[j][0] * part;
                    curvature += risk[j][0] * part * (1 - part);
                }
                double step = slope / curvature;
                theta += Math.max(-1, Math.min(1, step));
                if (Math.abs(step) < 1e-9) {
                    break;
                }
            }
            mode = theta;
        }
    }

    /** The build that the fit is of, all others being the earlier one; a new build starts a new fit. */
    private Build fitted;
    private Fit fit = new Fit(0);
    /** Further effects, each by a fit of its own: all answers slowed, and answers reported wrong. */
    private Fit slowed;
    private long slowedSince;
    private Fit wrong;
    /** The first effect once more for each method, by the desk's counts of all agents, and when they came. */
    private Fit[] allAgents = {};
    private long countedAt;

    /** Errors, time-outs, resets and failed connections are events, the failing pick still at risk. */
    private void judge(Pick pick, int outcome) {
        boolean failed = outcome == Pick.ERROR || outcome == Pick.RESET;
        boolean slow = outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED;
        // A customer's RPCs that earlier builds fail as well are no evidence, and get no further picks: they
        // are bad themselves. Harm: the customer's good ones get one pick, too.
        Tenant tenant = pick.rpc.tenant;
        boolean word = failed || outcome == Pick.OK;
        int bad = failed ? 1 : 0;
        tenant.failing += word && pick.build != fitted ? WAY_FADE * (bad - tenant.failing) : 0;
        boolean hopeless = failed && tenant.failing > HOPELESS;
        pick.appliance.failing += word && !hopeless ? WAY_FADE * (bad - pick.appliance.failing) : 0;
        pick.build.seen += word ? 1 : 0;
        // Connections to a location that break at once are one event: it is lost, not the build there.
        boolean again = outcome == Pick.RESET && now < pick.zone.brokeAt + pick.rpc.method.usual;
        pick.zone.brokeAt = outcome == Pick.RESET ? now : pick.zone.brokeAt;
        boolean tells = outcome == Pick.OK || slow || failed && !again && !hopeless && !odd(pick.appliance);
        if (fitted == null || !tells) {
            return;
        }
        // Strata by method: methods kept from the trial build, or failing by nature, say nothing of it.
        int method = pick.rpc.method.index;
        boolean isNew = pick.build == fitted;
        int old = builds.stream().mapToInt(build -> build == fitted ? 0 : build.out(slow)[method]).sum();
        // A silent appliance is one event however many picks it held, and a cold one may time out by being
        // cold: neither must convict its build. Harm: a build that only ever times out is judged later.
        if (failed && (old > 0 || !isNew) || slow && pick.appliance.silent == 0 && !pick.cold) {
            fit.event(old, fitted.out(slow)[method], isNew);
        }
        if (slow) {
            return;
        }
        // Slow picks swell the risk set in flight, and of many agents each has few out: set against the
        // picks that ended lately a build that fails shows sooner. With no earlier build up, all that these
        // did since the trial began stands in. Harm: errors that begin elsewhere just then.
        // The last 64 or so: longer, and a build that takes over the traffic would be charged for its share.
        builds.forEach(build -> build.ended[method] *= 1 - FADE / 2);
        pick.build.ended[method]++;
        double ended = builds.stream().mapToDouble(build -> build == fitted ? 0 : build.ended[method]).sum();
        boolean alone = earlier() == 0;
        wrong.add(method, isNew, 1 - bad, 0);
        wrong.add(methods.size() + method, isNew, isNew && !alone ? 0 : 1, isNew && !alone ? 0 : bad);
        if (failed && !alone) {
            wrong.event(ended, fitted.ended[method], isNew);
        }
    }

    /** The machine is sick, not its build. Harm: a build that fails at one of its first is judged later. */
    private boolean odd(Appliance appliance) {
        double others = fleet.stream().filter(a -> a != appliance && a.build == appliance.build)
                .mapToDouble(a -> a.failing).average().orElse(1);
        return appliance.failing > Math.max(HOPELESS, FAR_PAST * others);
    }

    /**
     * Answers far past the usual, of all builds alike: the second effect sets those of the last seconds
     * against those before the build came. Guards against a build that slows every appliance in step with its
     * traffic. Harm: another slowdown that begins then and lasts; a passing one, or a burst of RPCs that are
     * no client's further try, only delays 'on'.
     */
    private void lateness(Pick pick, int outcome, long lag) {
        Method method = pick.rpc.method;
        // While earlier appliances are there, they alone tell: those of a new build are slow by being few.
        boolean ended = outcome == Pick.OK || outcome == Pick.TIMEOUT && pick.appliance.silent == 0;
        if (pick.cold || method.usual == 0 || !ended || pick.build == fitted && earlier() > 0) {
            return;
        }
        double usual = during() && method.before > 0 ? method.before : method.usual;
        slowed.add(method.index, during(), 1, lag > FAR_PAST * usual * heaviness(pick.rpc) ? 1 : 0);
        if (worse(slowed) <= HOLD_CHANCE || firstRate > BURST * rateThen) {
            slowedSince = now;
        }
    }

    private boolean during() {
        boolean justReleased = phase == Build.RELEASED && now < stageSince + SLOWED_WAITS * onWait;
        return fitted != null && (fitted == trial() || fitted == newest && justReleased);
    }

    private double chance() {
        CRC32 crc = new CRC32();
        // Neighbouring counters alone go round in fours: a dozen choices among four met two of them.
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(counter++ * SPREAD).array());
        return (crc.getValue() + 0.5) / 4294967296.0;
    }

    private double drawTheta() {
        double normal = Math.sqrt(-2 * Math.log(chance())) * Math.cos(2 * Math.PI * chance());
        return fit.mode() + fit.spread() * normal;
    }

    private Build newest;
    private int phase = Build.RELEASED, stage;
    private double cap;
    private long stageSince;

    private Build votedBuild;
    private int votedStage, votedVerdict;
    private long votedAt = LONG_AGO;
    private boolean voteOut, voteStood;
    private String line;

    public void told(Build build, int phase, int stage, double cap, boolean answer, long since, int outcome) {
        if (answer) {
            voteOut = false;
            // Moot: the stage has moved on, as news will tell; the same call again would only fill the desk.
            voteStood = outcome == Pick.OK || outcome == Pick.MOOT;
        }
        if (outcome != Pick.OK) {
            return;
        }
        if (build != newest) {
            slowed.fade(0);
            builds.stream().filter(earlier -> earlier.number < build.number).forEach(b -> b.keys.clear());
        }
        build.seen = build == newest && stage == this.stage ? build.seen : 0;
        newest = build;
        this.phase = phase;
        this.stage = stage;
        this.cap = cap;
        this.stageSince = since;
        note(build);
    }

    /**
     * What the desk counted of all agents in a period: a group of tied events a method, where it samples more
     * than this agent sees, so that hundreds of agents with few RPCs need not wait for failures of their own.
     * Failures beneath notice are added to both arms: a cold start must not convict. Harm: late.
     */
    public void counted(Build build, Method method, long many, long bad, long mean) {
        note(build);
        if (fitted == null || !deskCounts) {
            return;
        }
        if (countedAt != now) {
            countedAt = now;
            Arrays.stream(allAgents).forEach(counts -> counts.open(1));
        }
        // One method that fails barely moves an effect of all. The first group remembers the earlier build.
        Fit counts = allAgents[method.index];
        boolean isNew = build == fitted;
        // Where even its good answers are far past the usual its few appliances are jammed: no evidence.
        if (isNew && method.usual > 0 && mean > FAR_PAST * method.usual) {
            return;
        }
        counts.add(isNew && earlier() == 0 ? 0 : counts.size - 1, isNew, many, bad + BENEATH_NOTICE * many);
        counts.add(0, false, isNew ? 0 : many, isNew ? 0 : bad + BENEATH_NOTICE * many);
    }

    /** A wrong answer, reported late and now and then by mistake: an event of a third effect. */
    public void contested(Appliance appliance, Method method, long age) {
        if (fitted != null) {
            wrong.add(method.index, appliance.build == fitted, 0, 1);
        }
    }

    /** Keeps the list of builds in order of number, and the fit with the newest build on trial. */
    private void note(Build build) {
        if (!builds.contains(build)) {
            builds.add(build);
            double start = warmRate > 0 ? TRIAL_START * warmRate : LIMIT_START;
            build.room.each = Math.min(LIMIT_START / agents, start);
            builds.sort((a, b) -> Integer.compare(a.number, b.number));
        }
        Build trial = trial();
        if (trial != null && trial != fitted) {
            fitted = trial;
            fit = new Fit(0);
            allAgents = methods.stream().map(method -> new Fit(1)).toArray(Fit[]::new);
            countedAt = LONG_AGO;
            wrong = new Fit(2 * methods.size());
            methods.forEach(method -> method.before = method.usual);
            places = earlier();
            rateThen = firstRate;
        }
    }

    private int places;

    /** Appliances up of other builds than the one that the fit is of. */
    private int earlier() {
        return builds.stream().mapToInt(build -> build == fitted ? 0 : build.room.appliances).sum();
    }

    private boolean isNew(Build build) {
        return newest != null && build.number >= newest.number;
    }

    /** Not yet announced, or announced and not released: what the exposure rule calls on trial. */
    public boolean onTrial(Build build) {
        return isNew(build) && (build != newest || phase != Build.RELEASED);
    }

    private Build trial() {
        Build last = builds.isEmpty() ? null : builds.get(builds.size() - 1);
        return last != null && onTrial(last) ? last : null;
    }

    /** The verdict that this agent stands for now. */
    private int verdict() {
        if (newest == null || newest != fitted || phase == Build.WITHDRAWN || phase == Build.REVERTING) {
            return Build.VOTE_NONE;
        }
        double all = Arrays.stream(allAgents).mapToDouble(Rules::worse).max().orElse(0);
        double own = Math.max(worse(fit), worse(wrong)), worse = Math.max(all, own);
        boolean lasting = now >= slowedSince + SLOWED_WAITS * onWait;
        // Where few voices are enough, all agents share the chance that one of them is wrong.
        double few = Math.min(1, (double) desk.noes * desk.noes / agents);
        boolean back = own > 1 - (1 - BACK_CHANCE) * few || all > COUNTED_CHANCE;
        if (back || lasting && worse(slowed) > BACK_CHANCE) {
            return Build.VOTE_BACK;
        }
        if (phase == Build.RELEASED) {
            return Build.VOTE_NONE;
        }
        if (desk.gate == AUTOMATIC) {
            return worse > HOLD_CHANCE ? Build.VOTE_HOLD : Build.VOTE_NONE;
        }
        // With no earlier appliance up a wait spares no RPC, and it can go back after the release, too.
        boolean doubtful = worse(slowed) > HOLD_CHANCE || wrong.worse(TOLERATED) > ON_CHANCE;
        boolean good = worse <= HOLD_CHANCE && (!doubtful || earlier() == 0);
        return good && now >= onAfter() ? Build.VOTE_ON : Build.VOTE_NONE;
    }

    private static double worse(Fit fit) {
        return fit.ofNew < FAILURES_TO_JUDGE ? 0 : fit.worse(TOLERATED);
    }

    /** When 'on' may be said: a wait after the last listed start of the stage's appliances. */
    private long onAfter() {
        long last = fleet.stream().filter(a -> a.state == Appliance.UP && a.build == newest)
                .mapToLong(a -> a.startedAt).reduce(stageSince, Math::max);
        int wanted = stage < exposure.waves.length ? Math.max(1, (int) (exposure.waves[stage] * places)) : 1;
        // A list that lags must not hold a good build up for ever. Harm: 'on' with less of the stage seen.
        // One of many agents hears late and sends little: nothing seen is no good word. Harm: 'on' is later.
        last += deskCounts || newest.seen >= ENOUGH ? 0 : UNSEEN_WAITS * onWait;
        return onWait + (newest.room.appliances >= wanted ? last : Math.max(last, stageSince + 2 * onWait));
    }

    private boolean voteDue(int verdict) {
        if (now < votedAt + 2 * SECOND * agents / desk.votesPerS
                || voteOut && now < votedAt + desk.callTimeout + 2 * tick) {
            return false;
        }
        boolean same = votedBuild == newest && votedVerdict == verdict
                && (votedStage == stage || verdict != Build.VOTE_ON && verdict != Build.VOTE_HOLD);
        if (verdict == Build.VOTE_NONE) {
            // A vote that no longer matches its build's standing is taken away while it could still count.
            return newest != null && votedBuild == newest && votedVerdict != Build.VOTE_NONE
                    && now < votedAt + desk.voteStands && phase == Build.ON_TRIAL && votedStage == stage;
        }
        return !same || !voteStood || now >= votedAt + desk.voteStands * 3 / 4;
    }

    private final List<ArrayDeque<Long>> takenAt = new ArrayList<>();

    private int exposureGroup(Method method) {
        return exposure.perMethod ? method.index : 0;
    }

    private double capOf(Build build) {
        if (build.number > newest.number) {
            return exposure.caps.length > 0 ? exposure.caps[0] : 0;
        }
        return phase == Build.ON_TRIAL || phase == Build.REVERTING ? cap : 0;
    }

    /** May a pick of this method go to the build on trial now: stage, cap and rolling count. */
    private boolean exposable(Build build, Method method) {
        boolean isTrial = onTrial(build);
        int at = isTrial && build.number > newest.number ? 0 : stage;
        double share = isTrial ? capOf(build) : 0;
        if (share <= 0 || at < exposure.shielded && method.effect != Method.IDEMPOTENT) {
            return !isTrial;
        }
        int group = exposureGroup(method);
        // Picks are counted over a little more than the window, RPCs over a little less.
        ArrayDeque<Long> taken = takenAt.get(group);
        while (!taken.isEmpty() && taken.peekFirst() <= now - exposure.window + 2 * tick) {
            taken.removeFirst();
        }
        while (!build.exposed.isEmpty() && build.exposed.peekFirst()[0] < now - exposure.window - 2 * tick) {
            build.exposedOf[(int) build.exposed.removeFirst()[1]]--;
        }
        return build.exposedOf[group] + 1 <= exposure.uncounted + share * taken.size();
    }

    /** A key that the new build has answered goes to no earlier one, until the build goes back. */
    private boolean keyAllows(Rpc rpc, Build build) {
        return !(exposure.keysStay && rpc.key != null && newest != null && build.number < newest.number
                && (phase == Build.ON_TRIAL || phase == Build.RELEASED) && newest.keys.contains(rpc.key));
    }

    /** Work answered by warm appliances, for what one of them takes through this agent. */
    private double warmWork;
    private double takenWork;
    private double warmRate;
    /** RPCs a second that are no further try, lately and when the build on trial came. */
    private double firstRate, rateThen;
    private long first;
    private long rateSince = LONG_AGO;

    /** Part of its full capacity that the appliance surely has. */
    private double warmth(Appliance appliance) {
        long age = Math.max(0, now - appliance.startedAt);
        return age >= cold.warmAfter ? 1 : cold.from + (1 - cold.from) * age / cold.warmAfter;
    }

    /** What the RPC should take: the method's usual time, more where its hint says that it is heavy. */
    private static double expected(Rpc rpc) {
        return rpc.method.usual * heaviness(rpc);
    }

    private static double heaviness(Rpc rpc) {
        return Math.max(1, rpc.method.work > 0 ? rpc.work / rpc.method.work : 1);
    }

    /** By the method, not the hint: those that look light would be let through alone, and often are not. */
    private double cost(Rpc rpc) {
        return Math.max(1, rpc.method.work > 0 ? rpc.method.work : rpc.method.usual);
    }

    private void rates() {
        if (now < rateSince + SECOND) {
            return;
        }
        long warm = fleet.stream().filter(a -> a.state == Appliance.UP && warmth(a) >= 1).count();
        if (rateSince > LONG_AGO && (warm * 2 > fleet.size() || warmRate == 0)) {
            double work = warmWork > 0 ? warmWork : takenWork;
            double rate = work / (now - rateSince) / Math.max(1, fleet.size());
            warmRate += (warmRate > 0 ? RATE_FADE : 1) * (rate - warmRate);
        }
        slowed.fade(SLOWED_KEPT);
        firstRate += RATE_FADE * (first * (double) SECOND / (now - rateSince) - firstRate);
        first = 0;
        warmWork = 0;
        takenWork = 0;
        rateSince = now;
    }

    /**
     * Guards against pushing a cold appliance over: credit grows by a part of what a warm one gets through
     * this agent, from a first one drawn evenly up to one pick. So any number of agents that hear of the
     * start together spread their picks, and all keeping to their part, all together do.
     */
    private boolean bears(Appliance appliance, Rpc rpc) {
        double warmth = warmth(appliance);
        if (warmth >= 1) {
            return true;
        }
        // One pick at a time: a build that needs more work outruns the budget, but not this.
        if (appliance.room.out > 0) {
            return false;
        }
        double cost = cost(rpc);
        double rate = COLD_SAFETY * cold.fallMultiple * warmth * warmRate;
        if (appliance.creditAt != now) {
            appliance.credit = appliance.creditAt < appliance.startedAt ? chance() * cost
                    : Math.min(cost, appliance.credit + rate * (now - appliance.creditAt));
            appliance.creditAt = now;
        }
        return appliance.credit >= cost;
    }

    private long askedAt = LONG_AGO;
    private boolean listAnswered;
    private boolean fullList, diskList;
    private final List<Appliance> named = new ArrayList<>();

    public void listBegins(boolean full, boolean disk) {
        fullList = full;
        diskList = disk;
        named.clear();
    }

    public void listed(Appliance appliance, Build build, Location zone, int cell, int state, long startedAt) {
        named.add(appliance);
        if (!fleet.contains(appliance)) {
            fleet.add(appliance);
        }
        // A fresh start under an old id is a new process, perhaps a new machine: nothing known of it holds.
        if (appliance.startedAt != startedAt || appliance.build != build) {
            appliance.pace = 1;
            appliance.failing = 0;
            appliance.silent = 0;
            appliance.awayUntil = LONG_AGO;
            appliance.barredUntil = LONG_AGO;
            appliance.room.least = 1;
            appliance.room.each = LIMIT_START * (now < startedAt + cold.warmAfter ? cold.from / 2 : 1);
        }
        appliance.build = build;
        appliance.zone = zone;
        if (!zones.contains(zone)) {
            zones.add(zone);
        }
        appliance.cell = cell;
        appliance.state = state;
        appliance.startedAt = startedAt;
    }

    public void listEnds() {
        if (fullList) {
            fleet.stream().filter(a -> !named.contains(a)).forEach(a -> a.state = Appliance.GONE);
        }
        listAnswered |= !diskList;
        named.forEach(appliance -> note(appliance.build));
        fleet.removeIf(appliance -> appliance.state == Appliance.GONE);
        builds.forEach(build -> build.left = build != fitted && newest != null && build.number < newest.number
                && build.room.out == 0 && fleet.stream().noneMatch(appliance -> appliance.build == build));
        builds.removeIf(build -> build.left);    // With its last appliance and pick.
        builds.forEach(build -> build.room.appliances = 0);
        fleet.forEach(one -> one.build.room.appliances += one.state == Appliance.UP ? 1 : 0);
        for (Build build : builds) {
            // Two picks an agent, or light agents would block themselves, unless all together are too many.
            double two = 2 * agents / LIMIT_START / Math.max(1, build.room.appliances);
            two = onTrial(build) ? ROOM_LEAST : Math.max(ROOM_LEAST, Math.min(2, two));
            build.room.least = two * LIMIT_START / agents;
            build.room.each = Math.max(build.room.least, build.room.each);
        }
    }

    public void listFailed() {
        listAnswered = false;
        askedAt = now - listing.askWithin / 4 + listing.askWithin / 20;
    }

    private boolean askDue() {
        return listing.asked && !listAnswered && now >= askedAt + listing.askWithin / 4;
    }

    /** Makes at most one call on {@code ctl}; false when there is nothing to decide now. */
    public boolean next(Ctl ctl) {
        rates();
        if (askDue()) {
            askedAt = now;
            ctl.watch();
            return true;
        }
        int verdict = verdict();
        if (line != null) {
            String said = line;
            line = null;
            ctl.note(said);
            return true;
        }
        if (voteDue(verdict)) {
            if (verdict != votedVerdict) {
                line = String.format("%s: build %d, stage %d; failures %s; all %s; slowed %s; wrong %s",
                        VERDICTS[verdict], newest.number, stage, fit, List.of(allAgents), slowed, wrong);
            }
            votedBuild = newest;
            votedStage = stage;
            votedVerdict = verdict;
            votedAt = now;
            voteOut = true;
            voteStood = false;
            ctl.vote(newest, stage, verdict);
            return true;
        }
        while (!todo.isEmpty()) {
            Rpc rpc = todo.removeFirst();
            if (!rpc.closed && rpc.out == 0 && decide(rpc, ctl)) {
                return true;
            }
        }
        long wake = wakeAt();
        if (wake < wokenFor) {
            wokenFor = wake;
            ctl.wake(Math.max(tick, wake - now));
            return true;
        }
        return false;
    }

    private long wakeAt() {
        long at = listing.asked && !listAnswered ? askedAt + listing.askWithin / 4 : Long.MAX_VALUE;
        boolean votes = newest != null && (phase == Build.ON_TRIAL || phase == Build.RELEASED);
        at = votes ? Math.min(at, now + SECOND / 10) : at;
        return held.isEmpty() ? at : Math.min(at, now + 2 * tick);
    }

    /** Decides about an RPC that has no pick out; false when it is held. */
    private boolean decide(Rpc rpc, Ctl ctl) {
        boolean mayRun = firstThatMayRun(rpc) != null;
        if (now >= rpc.deadline - 2 * tick || rpc.picks.size() >= tries.most
                || mayRun && (rpc.method.effect == Method.NON_IDEMPOTENT || further < 1
                || rpc.tenant.failing > HOPELESS)) {
            return finish(rpc, mayRun, ctl);
        }
        // Where one without ties found no place in this turn, nor will the next: many may be held, and often.
        boolean isFree = rpc.picks.isEmpty() && (newest == null || !newest.keys.contains(rpc.key));
        Appliance appliance = isFree && rpc.method.fullAt == now ? null : choose(rpc);
        rpc.method.fullAt = isFree && appliance == null ? now : rpc.method.fullAt;
        if (appliance != null) {
            if (mayRun) {
                further--;
            }
            send(rpc, appliance, ctl);
            return true;
        }
        if (mayRun || now >= rpc.takenAt + HELD * rpc.method.softDeadline) {
            return finish(rpc, mayRun, ctl);
        }
        held.addLast(rpc);
        return false;
    }

    /** The final answer for an RPC that is given up: pushed back where the rules allow, or else aborted. */
    private boolean finish(Rpc rpc, boolean mayRun, Ctl ctl) {
        rpc.closed = true;
        boolean harmless = !mayRun || rpc.method.effect == Method.IDEMPOTENT
                || rpc.method.effect == Method.TOKENED && rpc.method.scope == Method.SCOPE_ALL;
        if (harmless && now < rpc.deadline) {
            long stayAway = Math.min(tries.stayAwayMost, rpc.method.softDeadline);
            ctl.pushBack(rpc, tries.stayAwayHeard ? stayAway : 0);
        } else {
            ctl.abort(rpc);
        }
        return true;
    }

    private void send(Rpc rpc, Appliance appliance, Ctl ctl) {
        boolean isCold = warmth(appliance) < 1;
        Pick pick = new Pick(rpc, appliance, now, isCold);
        rpc.picks.add(pick);
        rpc.out++;
        appliance.build.room.out++;
        appliance.room.out++;
        appliance.zone.sentAt = now;
        appliance.zone.out++;
        appliance.build.inFlight[rpc.method.index]++;
        appliance.build.warmInFlight[rpc.method.index] += isCold ? 0 : 1;
        if (isCold) {
            appliance.credit -= cost(rpc);
        }
        // Also after the release, and before any answer, which may come too late or not be readable.
        if (exposure.keysStay && rpc.key != null && isNew(appliance.build)) {
            appliance.build.keys.add(rpc.key);
        }
        if (onTrial(appliance.build)) {
            appliance.build.exposed.addLast(new long[] {now, exposureGroup(rpc.method)});
            appliance.build.exposedOf[exposureGroup(rpc.method)]++;
        }
        if (rpc.picks.size() == 1 && fitted != null) {
            double fade = 1 - FADE;
            sentOld = sentOld * fade + (appliance.build == fitted ? 0 : 1);
            sentNew = sentNew * fade + (appliance.build == fitted ? 1 : 0);
        }
        ctl.pick(rpc, appliance, within(rpc, isCold || onTrial(appliance.build)));
    }

    /** How long a pick may take: under the deadline only where another may follow and still be in time. */
    private long within(Rpc rpc, boolean young) {
        long left = Math.max(1, rpc.deadline - now);
        Method method = rpc.method;
        long soft = rpc.takenAt + method.softDeadline - now;
        // Few and cold, the appliances of a new build are slow at first: giving up early would convict it.
        if (young || method.effect == Method.NON_IDEMPOTENT || rpc.picks.size() >= tries.most || further < 1
                || method.usual == 0) {
            return left;
        }
        // A heavy RPC is not given up for being heavy.
        double expected = expected(rpc);
        long patience = (long) Math.max(PATIENCE * Math.min(soft, left), FAR_PAST * expected);
        return soft - patience < ROOM_FOR_MORE * expected ? left : Math.max(1, Math.min(left, patience));
    }

    private static Pick firstThatMayRun(Rpc rpc) {
        return rpc.picks.stream().filter(pick -> pick.outcome != Pick.FULL && pick.outcome != Pick.MOOT
                && pick.outcome != Pick.CONNECT_FAILED).findFirst().orElse(null);
    }

    /** Rules on appliances for one RPC: state, drains, effects, keys, exposure and cold starts. */
    private boolean allowed(Rpc rpc, Appliance appliance, Pick mayRun) {
        Location zone = appliance.zone;
        boolean barred = now < appliance.barredUntil || now < zone.limitedUntil && zone.out >= zone.most;
        if (appliance.state != Appliance.UP || barred || !keyAllows(rpc, appliance.build)) {
            return false;
        }
        Method method = rpc.method;
        boolean group = mayRun == null || method.effect != Method.TOKENED
                || now < mayRun.sentAt + method.tokenWindow - 4 * tick && (method.scope == Method.SCOPE_ALL
                || method.scope == Method.SCOPE_ZONE && appliance.zone == mayRun.appliance.zone
                || method.scope == Method.SCOPE_CELL && appliance.cell == mayRun.appliance.cell);
        Build build = appliance.build;
        return group && free(build.room) && exposable(build, method) && bears(appliance, rpc);
    }

    private double sentOld, sentNew;

    private Appliance choose(Rpc rpc) {
        Pick mayRun = firstThatMayRun(rpc);
        Build trial = trial();
        List<Appliance> old = new ArrayList<>(fleet), fresh = new ArrayList<>();
        old.removeIf(appliance -> !allowed(rpc, appliance, mayRun));
        old.stream().filter(appliance -> appliance.build == trial).forEach(fresh::add);
        old.removeAll(fresh);
        int latest = old.stream().mapToInt(appliance -> appliance.build.number).max().orElse(0);
        old.removeIf(appliance -> appliance.build.number < latest);    // After the release: the newer.
        List<Appliance> bestOld = healthy(rpc, old), bestNew = healthy(rpc, fresh);
        boolean none = bestOld.isEmpty() && bestNew.isEmpty();
        Appliance ofOld = lighter(none ? old : bestOld), ofNew = lighter(none ? fresh : bestNew);
        if (ofOld == null || ofNew == null) {
            return ofOld == null ? ofNew : ofOld;
        }
        boolean failedNew = !rpc.picks.isEmpty() && rpc.picks.get(rpc.picks.size() - 1).build == trial;
        return !failedNew && wantsNew(rpc) ? ofNew : ofOld;
    }

    /** One draw an RPC: even until the first failure, then by theta; the earlier build's share is bounded. */
    private boolean wantsNew(Rpc rpc) {
        if (!rpc.drawn) {
            rpc.drawn = true;
            rpc.drawnNew = fit.events == 0 ? chance() < 0.5 : drawTheta() > 0;
        }
        double share = (double) earlier() / (earlier() + fitted.room.appliances);
        return rpc.drawnNew || sentOld > share * (sentOld + sentNew);
    }

    /** Those that are not left out now nor were tried for this RPC yet; any other is the last resort. */
    private List<Appliance> healthy(Rpc rpc, List<Appliance> from) {
        List<Appliance> best = new ArrayList<>(from);
        best.removeIf(appliance -> now < appliance.awayUntil
                || away(appliance.zone) && now < appliance.zone.sentAt + AWAY_USUALS * rpc.method.softDeadline
                || appliance.silent >= SILENT_TO_LEAVE && appliance.room.out > 0
                || rpc.picks.stream().anyMatch(pick -> pick.appliance == appliance));
        return best;
    }

    /** Two random choices on in-flight counts. */
    private Appliance lighter(List<Appliance> among) {
        among.removeIf(appliance -> !free(appliance.room));
        if (among.isEmpty()) {
            return null;
        }
        Appliance one = among.get((int) (chance() * among.size()));
        Appliance two = among.get((int) (chance() * among.size()));
        return burden(two) < burden(one) ? two : one;
    }

    private double burden(Appliance appliance) {
        // What fails at once looks light, and would draw all RPCs.
        double good = Math.max(FADE, 1 - appliance.failing);
        return (appliance.room.out + 1) * appliance.pace / warmth(appliance) / good / good;
    }
}
