import java.nio.file.Files;
import java.util.List;

/** All agents are told to read their files again; the file of one is malformed. */
final class UpdateTurnedDown {

    private static final int AGENTS = 3;

    private UpdateTurnedDown() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, UpdateTurnedDown::run);
    }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        ManagedFleet fleet = new ManagedFleet(bench, AGENTS);
        int next = fleet.servers.start("s2");
        for (int i = 0; i < AGENTS; i++) {
            String settings = fleet.settings(i, next);
            // The last byte is missing.
            Files.writeString(fleet.file(i), trouble && i == 1 ? settings.substring(0, settings.length() - 1) : settings);
        }
        String report = fleet.command("update --at-once " + AGENTS);
        Bench.sleep(3000);
        String id = report.lines().filter(line -> line.startsWith("operation ")).findFirst().orElse("operation ?").split(" ")[1];
        String last = fleet.command("report " + id);
        int wrong = 0;
        for (int i = 0; i < AGENTS; i++) {
            String name = "a" + (i + 1);
            boolean saysApplied = last.lines().anyMatch(line -> line.matches(name + " +APPLIED .*"));
            int before = fleet.servers.got.size();
            boolean isAnswered = fleet.isServing(i);
            List<FlagServers.Got> got = List.copyOf(fleet.servers.got);
            boolean isUpdated = got.size() > before && got.get(got.size() - 1).server().equals("s2");
            if (!isAnswered) {
                throw new Bench.CannotRun(name + " does not answer");
            }
            wrong += saysApplied && !isUpdated ? 1 : 0;
            bench.say(name + ": the report says " + (saysApplied ? "applied" : "not applied") + "; it asks "
                    + (isUpdated ? "the new server" : "the server of the file before"));
        }
        return wrong == 0;
    }
}
