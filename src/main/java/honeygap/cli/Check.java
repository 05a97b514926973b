package honeygap.cli;

import honeygap.net.Agent;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.PrintWriter;
import picocli.CommandLine;

@CommandLine.Command(name = "check", mixinStandardHelpOptions = true,
        description = "Read an agent's configuration and say what it would do with it.")
final class Check extends Configured {

    @Override
    void run(Agent agent, Fields told, PrintWriter out) throws Malformed {
        out.println("listens on " + told.text("listen") + ", list at " + told.text("discovery") + ", desk at "
                + told.object("rollouts").text("address"));
        for (Fields method : told.object("settings").objects("Classes")) {
            out.println("method " + method.text("Name") + ": " + method.text("Effect"));
        }
        int known = told.has("known") ? told.object("known").objects("endpoints").size() : 0;
        out.println("starts with " + known + " appliances known");
    }
}
