package honeygap.cli;

import honeygap.net.Agent;
import honeygap.config.JsonObject;
import honeygap.config.FlagSettings;
import honeygap.config.Malformed;
import java.io.PrintWriter;
import picocli.CommandLine;

@CommandLine.Command(name = "check", mixinStandardHelpOptions = true,
        description = "Validate an agent's settings files and summarise them, or report all errors.")
final class Check extends Configured {

    @Override
    void run(Agent agent, PrintWriter out) throws Malformed {
        if (agentSettings() != null) {
            printAgentSettings(agentSettings(), out);
        }
        if (flagSettings() != null) {
            printFlagSettings(flagSettings(), out);
        }
    }

    private static void printAgentSettings(JsonObject settings, PrintWriter out) throws Malformed {
        out.println("listens on " + settings.text("listen") + ", list at " + settings.text("discovery") + ", desk at "
                + settings.object("rollouts").text("address"));
        for (JsonObject method : settings.object("settings").objects("Classes")) {
            out.println("method " + method.text("Name") + ": " + method.text("Effect"));
        }
        int applianceCount = settings.has("known") ? settings.object("known").objects("endpoints").size() : 0;
        out.println("starts with " + applianceCount + " appliances known");
    }

    private static void printFlagSettings(FlagSettings settings, PrintWriter out) {
        out.println("answers flags on " + settings.listen + ", " + (settings.listAddress != null ? "servers listed at "
                + settings.listAddress : settings.servers.size() + " static servers"));
        out.println("votes " + (settings.deskAddress != null ? "at the desk at " + settings.deskAddress : "locally, through stages with"
                + " caps " + java.util.Arrays.toString(settings.caps)));
        settings.cacheRules.forEach(rule -> out.println("caching of answers for flags " + rule.flagPattern() + ": fresh for "
                + rule.cachedFor() / 10 + " ms, stale for " + rule.staleFor() / 10 + " ms"));
    }
}
