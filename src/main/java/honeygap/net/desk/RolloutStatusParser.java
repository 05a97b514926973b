package honeygap.net.desk;

import honeygap.DecisionEngine;
import honeygap.fleet.Build;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.net.Loop;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;

/** Parses the rollout status that the release desk reports, in each of its formats, into inputs of the rules. */
public final class RolloutStatusParser {

    private final Loop loop;
    private final DecisionEngine rules;
    private final IntFunction<Build> builds;
    private final Map<String, Method> methods;

    public RolloutStatusParser(Loop loop, DecisionEngine rules, IntFunction<Build> builds, Map<String, Method> methods) {
        this.loop = loop;
        this.rules = rules;
        this.builds = builds;
        this.methods = methods;
    }

    /** Parses the status in the configuration that an agent starts with. */
    public Runnable parseInitial(JsonObject status) throws Malformed {
        return statusUpdate(status.roundedInt("Revision"), status.roundedInt("Wave"), status.text("State"),
                status.doubleValue("MaxShare"), status.doubleValue("AgeMs"), false);
    }

    /** Parses the response to a vote that was counted. */
    Runnable parseVoteResponse(String xml) throws Malformed {
        if (!xml.strip().endsWith("</Response>")) {
            throw new Malformed("incomplete response");
        }
        return statusUpdate((int) parseNumber(element(xml, "Revision")), (int) parseNumber(element(xml, "Wave")),
                element(xml, "State"), parseNumber(element(xml, "MaxShare")), parseNumber(element(xml, "AgeMs")), true);
    }

    /** Parses a progress event of the status stream. */
    Runnable parseProgress(String form) throws Malformed {
        Map<String, String> fields = parseForm(form);
        return statusUpdate((int) parseNumber(fields.get("Revision")), (int) parseNumber(fields.get("Wave")),
                fields.get("State"), parseNumber(fields.get("MaxShare")), parseNumber(fields.get("AgeMs")), false);
    }

    /** Parses a metrics event: the desk's counts for one build and method over a period. */
    Runnable parseMetrics(String form) throws Malformed {
        Map<String, String> fields = parseForm(form);
        Method method = methods.get(fields.get("Lane"));
        if (method == null) {
            throw new Malformed("unknown Lane " + fields.get("Lane"));
        }
        int build = (int) parseNumber(fields.get("Revision"));
        long samples = (long) parseNumber(fields.get("Samples"));
        long errors = (long) parseNumber(fields.get("Errors"));
        long meanLatency = (long) (10 * parseNumber(fields.get("MeanMs")));
        long age = (long) (10 * parseNumber(fields.get("AgeMs")));
        return () -> rules.countsReceived(builds.apply(build), method, samples, errors, meanLatency, age);
    }

    private Runnable statusUpdate(int build, int stage, String state, double cap, double ageMs, boolean isVoteResponse)
            throws Malformed {
        int phase = parsePhase(state);
        long since = loop.clock() - (long) (10 * ageMs);
        return () -> rules.rolloutReported(builds.apply(build), phase, stage, cap, isVoteResponse, since, Pick.OK);
    }

    private static int parsePhase(String state) throws Malformed {
        switch (state == null ? "" : state) {
            case "Progressing":
                return Build.ON_TRIAL;
            case "Aborting":
                return Build.ROLLING_BACK;
            case "Healthy":
                return Build.RELEASED;
            case "Aborted":
                return Build.WITHDRAWN;
            default:
                throw new Malformed("unknown State " + state);
        }
    }

    /** Returns the text of the first element with this name, or an empty string if there is none. */
    static String element(String xml, String name) {
        int start = xml.indexOf('<' + name + '>');
        int end = start < 0 ? -1 : xml.indexOf("</" + name + '>', start);
        return end < 0 ? "" : xml.substring(start + name.length() + 2, end).strip();
    }

    private static Map<String, String> parseForm(String form) throws Malformed {
        Map<String, String> fields = new HashMap<>();
        try {
            for (String pair : form.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    fields.put(pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        } catch (IllegalArgumentException e) {
            throw new Malformed("malformed form: " + form);
        }
        return fields;
    }

    private static double parseNumber(String text) throws Malformed {
        try {
            double number = Double.parseDouble(text == null ? "" : text);
            if (number >= 0 && number < 1e12) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new Malformed("not a number: " + text);
    }
}
