package honeygap.net.desk;

import honeygap.Rules;
import honeygap.fleet.Build;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.net.Loop;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;

/** What the desk says of builds, in each of the forms that it uses, as inputs of the module. */
public final class News {

    private final Loop loop;
    private final Rules rules;
    private final IntFunction<Build> builds;
    private final Map<String, Method> methods;

    public News(Loop loop, Rules rules, IntFunction<Build> builds, Map<String, Method> methods) {
        this.loop = loop;
        this.rules = rules;
        this.builds = builds;
        this.methods = methods;
    }

    /** The news that an agent starts from. */
    public Runnable first(Fields news) throws Malformed {
        return told(news.rounded("Revision"), news.rounded("Wave"), news.text("State"),
                news.number("MaxShare"), news.number("AgeMs"), false);
    }

    /** The answer to a vote that counts. */
    Runnable item(String xml) throws Malformed {
        if (!xml.strip().endsWith("</Response>")) {
            throw new Malformed("not the whole of an answer");
        }
        return told((int) number(element(xml, "Revision")), (int) number(element(xml, "Wave")),
                element(xml, "State"), number(element(xml, "MaxShare")), number(element(xml, "AgeMs")), true);
    }

    /** Told without being asked. */
    Runnable progress(String form) throws Malformed {
        Map<String, String> pairs = pairs(form);
        return told((int) number(pairs.get("Revision")), (int) number(pairs.get("Wave")), pairs.get("State"),
                number(pairs.get("MaxShare")), number(pairs.get("AgeMs")), false);
    }

    /** What the desk counted of one build and method in a period. */
    Runnable metrics(String form) throws Malformed {
        Map<String, String> pairs = pairs(form);
        Method method = methods.get(pairs.get("Lane"));
        if (method == null) {
            throw new Malformed("unknown Lane " + pairs.get("Lane"));
        }
        int build = (int) number(pairs.get("Revision"));
        long many = (long) number(pairs.get("Samples"));
        long bad = (long) number(pairs.get("Errors"));
        long mean = (long) (10 * number(pairs.get("MeanMs")));
        long age = (long) (10 * number(pairs.get("AgeMs")));
        return () -> rules.counted(builds.apply(build), method, many, bad, mean, age);
    }

    private Runnable told(int build, int stage, String state, double cap, double ageMs, boolean answer)
            throws Malformed {
        int phase = phase(state);
        long since = loop.clock() - (long) (10 * ageMs);
        return () -> rules.told(builds.apply(build), phase, stage, cap, answer, since, Pick.OK);
    }

    private static int phase(String word) throws Malformed {
        switch (word == null ? "" : word) {
            case "Progressing":
                return Build.ON_TRIAL;
            case "Aborting":
                return Build.REVERTING;
            case "Healthy":
                return Build.RELEASED;
            case "Aborted":
                return Build.WITHDRAWN;
            default:
                throw new Malformed("unknown State " + word);
        }
    }

    /** The text of the first element of this name; empty where there is none. */
    static String element(String xml, String name) {
        int from = xml.indexOf('<' + name + '>');
        int to = from < 0 ? -1 : xml.indexOf("</" + name + '>', from);
        return to < 0 ? "" : xml.substring(from + name.length() + 2, to).strip();
    }

    private static Map<String, String> pairs(String form) throws Malformed {
        Map<String, String> pairs = new HashMap<>();
        try {
            for (String pair : form.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    pairs.put(pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        } catch (IllegalArgumentException e) {
            throw new Malformed("not a form: " + form);
        }
        return pairs;
    }

    private static double number(String word) throws Malformed {
        try {
            double number = Double.parseDouble(word == null ? "" : word);
            if (number >= 0 && number < 1e12) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Malformed("not a number: " + word);
    }
}
