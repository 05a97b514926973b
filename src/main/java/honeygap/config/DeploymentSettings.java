package honeygap.config;

import honeygap.DecisionEngine;
import honeygap.fleet.Method;
import honeygap.settings.ColdStartSettings;
import honeygap.settings.DeskSettings;
import honeygap.settings.ExposureSettings;
import honeygap.settings.ListSettings;
import honeygap.settings.RetryLimits;
import java.util.ArrayList;
import java.util.List;

/** Parses the deployment settings that an agent gets at startup, in the same way for the simulator and for sockets. */
public final class DeploymentSettings {

    /** Time after which the protocol treats a change as delivered to every agent; tenths of a millisecond. */
    static final long MAX_PROPAGATION_DELAY = 60_000;

    private DeploymentSettings() {
    }

    public static List<Method> methods(JsonObject info) throws Malformed {
        List<Method> methods = new ArrayList<>();
        for (JsonObject method : info.objects("Classes")) {
            methods.add(new Method(methods.size(), effect(method),
                    scope(method), method.tenthsOfMs("WindowNs", 0),
                    method.positiveTenthsOfMs("AimNs"), method.positiveTenthsOfMs("GiveUpNs"),
                    method.doubleValue("Worth", 1), method.doubleValue("LateWorth", 0)));
        }
        return methods;
    }

    /** Discovery settings under the simulator, which delivers pushed lists without a subscription. */
    public static ListSettings simulatorListing(JsonObject info) throws Malformed {
        return new ListSettings(isPolled(info), !isPolled(info), maxPollInterval(info), 0);
    }

    private static boolean isPolled(JsonObject info) throws Malformed {
        return switch (info.text("RegistryMode", "push")) {
            case "ask" -> true;
            case "push" -> false;
            default -> throw info.error("RegistryMode", "is unknown: " + info.text("RegistryMode"));
        };
    }

    /** Discovery settings on sockets, where lists arrive only over a watch that the agent opens, in push mode too. */
    public static ListSettings socketListing(JsonObject info) throws Malformed {
        long maxDelay = maxPollInterval(info) > 0 ? maxPollInterval(info) : MAX_PROPAGATION_DELAY;
        // The list needs a lease only if a drain rule exists: otherwise using an outdated list violates nothing.
        boolean hasDrainRule = info.objectOrEmpty("Rules").has("StopSendingWithinNs");
        return new ListSettings(true, !isPolled(info), maxDelay, hasDrainRule ? Math.min(maxDelay, MAX_PROPAGATION_DELAY) : 0);
    }

    private static long maxPollInterval(JsonObject info) throws Malformed {
        return info.objectOrEmpty("Rules").tenthsOfMs("MustAskInNs", 0);
    }

    public static RetryLimits tries(JsonObject info) throws Malformed {
        JsonObject ceilings = info.objectOrEmpty("Ceilings");
        return new RetryLimits(ceilings.intValue("MaxAttempts", 1), ceilings.bool("RetryAfter", false),
                ceilings.tenthsOfMs("MaxRetryAfterNs", 0));
    }

    public static ColdStartSettings cold(JsonObject info) throws Malformed {
        JsonObject rules = info.objectOrEmpty("Rules");
        return new ColdStartSettings(rules.doubleValue("ColdFrom", 1), rules.tenthsOfMs("WarmAfterNs", 0),
                rules.doubleValue("FallMultiple", 1), rules.tenthsOfMs("TipAfterNs", 0));
    }

    public static DeskSettings desk(JsonObject info) throws Malformed {
        JsonObject rollout = info.objectOrEmpty("FamilyInfo");
        return new DeskSettings(gate(rollout), rollout.tenthsOfMs("VoteStandsNs", 0), rollout.tenthsOfMs("SoakNs", 20_000),
                rollout.tenthsOfMs("CallTimeoutNs", 0), rollout.intValue("NoesNeeded", 1), rollout.doubleValue("VotesPerS", 1),
                rollout.tenthsOfMs("TallyEveryNs", 0) > 0 ? rollout.doubleValue("SampledShare", 0) : 0,
                rollout.tenthsOfMs("TallyEveryNs", 0));
    }

    public static ExposureSettings exposure(JsonObject info) throws Malformed {
        JsonObject rollout = info.objectOrEmpty("FamilyInfo");
        return new ExposureSettings(rollout.has("Caps") ? rollout.numbers("Caps") : new double[0],
                rollout.has("Waves") ? rollout.numbers("Waves") : new double[0],
                rollout.tenthsOfMs("WindowNs", 0), rollout.doubleValue("Uncounted", 0),
                rollout.text("CapScope", "all").equals("each_class"), rollout.intValue("Shielded", 0),
                rollout.bool("KeysStay", false));
    }

    public static DecisionEngine rules(long now, long seed, List<Method> methods, JsonObject info, ListSettings listing)
            throws Malformed {
        return new DecisionEngine(now, seed, info.intValue("FleetSize", 1), info.positiveTenthsOfMs("TickNs"), methods,
                tries(info), listing, cold(info), desk(info), exposure(info));
    }

    private static int effect(JsonObject method) throws Malformed {
        switch (method.text("Effect")) {
            case "read_like":
                return Method.IDEMPOTENT;
            case "idempotency_key":
                return Method.TOKENED;
            case "non_idempotent":
                return Method.NON_IDEMPOTENT;
            default:
                throw method.error("Effect", "is unknown: " + method.text("Effect"));
        }
    }

    private static int scope(JsonObject method) throws Malformed {
        switch (method.text("KeyScope", "all")) {
            case "all":
                return Method.SCOPE_ALL;
            case "zone":
                return Method.SCOPE_ZONE;
            case "cell":
                return Method.SCOPE_CELL;
            default:
                throw method.error("KeyScope", "is unknown: " + method.text("KeyScope"));
        }
    }

    private static int gate(JsonObject rollout) throws Malformed {
        switch (rollout.text("GateMode", "first_voice")) {
            case "first_voice":
                return DeskSettings.FIRST_VOTE;
            case "by_count":
                return DeskSettings.BY_COUNT;
            case "automatic":
                return DeskSettings.AUTOMATIC;
            default:
                throw rollout.error("GateMode", "is unknown: " + rollout.text("GateMode"));
        }
    }
}
