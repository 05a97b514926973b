package honeygap.cli;

import honeygap.net.Agent;
import honeygap.read.Fields;
import honeygap.read.FlagSheet;
import honeygap.read.Malformed;
import java.io.PrintWriter;
import picocli.CommandLine;

@CommandLine.Command(name = "check", mixinStandardHelpOptions = true,
        description = "Read an agent's files and say what it would do with them, or all that is wrong there.")
final class Check extends Configured {

    @Override
    void run(Agent agent, PrintWriter out) throws Malformed {
        if (told() != null) {
            queries(told(), out);
        }
        if (sheet() != null) {
            flags(sheet(), out);
        }
    }

    private static void queries(Fields told, PrintWriter out) throws Malformed {
        out.println("listens on " + told.text("listen") + ", list at " + told.text("discovery") + ", desk at "
                + told.object("rollouts").text("address"));
        for (Fields method : told.object("settings").objects("Classes")) {
            out.println("method " + method.text("Name") + ": " + method.text("Effect"));
        }
        int known = told.has("known") ? told.object("known").objects("endpoints").size() : 0;
        out.println("starts with " + known + " appliances known");
    }

    private static void flags(FlagSheet sheet, PrintWriter out) {
        out.println("answers flags on " + sheet.listen + ", " + (sheet.list != null ? "servers listed at "
                + sheet.list : sheet.servers.size() + " servers named"));
        out.println("votes " + (sheet.desk != null ? "at the desk at " + sheet.desk : "alone, through stages with"
                + " caps " + java.util.Arrays.toString(sheet.caps)));
        sheet.allowances.forEach(rule -> out.println("last good answers for flags " + rule.flags() + ": cached for "
                + rule.cachedFor() / 10 + " ms, stale for " + rule.staleFor() / 10 + " ms"));
    }
}
