package honeygap.read;

import honeygap.DecisionEngine;
import honeygap.fleet.Method;
import honeygap.terms.ColdStartSettings;
import honeygap.terms.DeskSettings;
import honeygap.terms.ExposureSettings;
import honeygap.terms.ListSettings;
import honeygap.terms.RetryLimits;
import java.util.ArrayList;
import java.util.List;

/** Parses the deployment settings that an agent gets at startup, in the same way for the simulator and for sockets. */
public final class Deployment {

    /** Time after which the protocol treats a change as delivered to every agent; tenths of a millisecond. */
    private static final long MAX_PROPAGATION_DELAY = 60_000;

    private Deployment() {
    }

    public static List<Method> methods(Fields info) throws Malformed {
        List<Method> methods = new ArrayList<>();
        for (Fields method : info.objects("Classes")) {
            methods.add(new Method(methods.size(), effect(method),
                    scope(method), method.tenths("WindowNs", 0),
                    method.positiveTenthsOfMs("AimNs"), method.positiveTenthsOfMs("GiveUpNs"),
                    method.number("Worth", 1), method.number("LateWorth", 0)));
        }
        return methods;
    }

    /** Discovery settings under the simulator, which delivers pushed lists without a subscription. */
    public static ListSettings onWire(Fields info) throws Malformed {
        return new ListSettings(isPolled(info), !isPolled(info), maxPollInterval(info), 0);
    }

    private static boolean isPolled(Fields info) throws Malformed {
        return switch (info.text("RegistryMode", "push")) {
            case "ask" -> true;
            case "push" -> false;
            default -> throw info.fault("RegistryMode", "is unknown: " + info.text("RegistryMode"));
        };
    }

    /** Discovery settings on sockets, where lists arrive only over a watch that the agent opens, in push mode too. */
    public static ListSettings onSockets(Fields info) throws Malformed {
        long maxDelay = maxPollInterval(info) > 0 ? maxPollInterval(info) : MAX_PROPAGATION_DELAY;
        // The list needs a lease only if a drain rule exists: otherwise using an outdated list violates nothing.
        boolean hasDrainRule = info.part("Rules").has("StopSendingWithinNs");
        return new ListSettings(true, !isPolled(info), maxDelay, hasDrainRule ? Math.min(maxDelay, MAX_PROPAGATION_DELAY) : 0);
    }

    private static long maxPollInterval(Fields info) throws Malformed {
        return info.part("Rules").tenths("MustAskInNs", 0);
    }

    public static RetryLimits tries(Fields info) throws Malformed {
        Fields ceilings = info.part("Ceilings");
        return new RetryLimits(ceilings.index("MaxAttempts", 1), ceilings.flag("RetryAfter", false),
                ceilings.tenths("MaxRetryAfterNs", 0));
    }

    public static ColdStartSettings cold(Fields info) throws Malformed {
        Fields rules = info.part("Rules");
        return new ColdStartSettings(rules.number("ColdFrom", 1), rules.tenths("WarmAfterNs", 0),
                rules.number("FallMultiple", 1), rules.tenths("TipAfterNs", 0));
    }

    public static DeskSettings desk(Fields info) throws Malformed {
        Fields rollout = info.part("FamilyInfo");
        return new DeskSettings(gate(rollout), rollout.tenths("VoteStandsNs", 0), rollout.tenths("SoakNs", 20_000),
                rollout.tenths("CallTimeoutNs", 0), rollout.index("NoesNeeded", 1), rollout.number("VotesPerS", 1),
                rollout.tenths("TallyEveryNs", 0) > 0 ? rollout.number("SampledShare", 0) : 0,
                rollout.tenths("TallyEveryNs", 0));
    }

    public static ExposureSettings exposure(Fields info) throws Malformed {
        Fields rollout = info.part("FamilyInfo");
        return new ExposureSettings(rollout.has("Caps") ? rollout.numbers("Caps") : new double[0],
                rollout.has("Waves") ? rollout.numbers("Waves") : new double[0],
                rollout.tenths("WindowNs", 0), rollout.number("Uncounted", 0),
                rollout.text("CapScope", "all").equals("each_class"), rollout.index("Shielded", 0),
                rollout.flag("KeysStay", false));
    }

    public static DecisionEngine rules(long now, long seed, List<Method> methods, Fields info, ListSettings listing)
            throws Malformed {
        return new DecisionEngine(now, seed, info.index("FleetSize", 1), info.positiveTenthsOfMs("TickNs"), methods, tries(info), listing,
                cold(info), desk(info), exposure(info));
    }

    private static int effect(Fields method) throws Malformed {
        switch (method.text("Effect")) {
            case "read_like":
                return Method.IDEMPOTENT;
            case "idempotency_key":
                return Method.TOKENED;
            case "non_idempotent":
                return Method.NON_IDEMPOTENT;
            default:
                throw method.fault("Effect", "is unknown: " + method.text("Effect"));
        }
    }

    private static int scope(Fields method) throws Malformed {
        switch (method.text("KeyScope", "all")) {
            case "all":
                return Method.SCOPE_ALL;
            case "zone":
                return Method.SCOPE_ZONE;
            case "cell":
                return Method.SCOPE_CELL;
            default:
                throw method.fault("KeyScope", "is unknown: " + method.text("KeyScope"));
        }
    }

    private static int gate(Fields rollout) throws Malformed {
        switch (rollout.text("GateMode", "first_voice")) {
            case "first_voice":
                return DeskSettings.FIRST_VOTE;
            case "by_count":
                return DeskSettings.BY_COUNT;
            case "automatic":
                return DeskSettings.AUTOMATIC;
            default:
                throw rollout.fault("GateMode", "is unknown: " + rollout.text("GateMode"));
        }
    }
}
