import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Agents that answer flags and have a door, and their manager. */
final class ManagedFleet {

    private final Bench bench;
    final FlagServers servers;
    private final int serverPort;
    private final int managerPort;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> doors = new ArrayList<>();
    private final List<Process> agents = new ArrayList<>();

    /** Starts the agents a1, a2 and so on, and the manager, and waits until all are heard. */
    ManagedFleet(Bench bench, int count) throws Exception {
        this.bench = bench;
        servers = new FlagServers(bench);
        serverPort = servers.start("s1");
        managerPort = Bench.freePort();
        StringBuilder instances = new StringBuilder();
        for (int i = 0; i < count; i++) {
            ports.add(Bench.freePort());
            doors.add(Bench.freePort());
            Files.writeString(file(i), settings(i, serverPort));
            agents.add(start(i));
            instances.append(i == 0 ? "" : ",").append("{\"name\":\"a").append(i + 1).append("\",\"door\":\"127.0.0.1:")
                    .append(doors.get(i)).append("\",\"labels\":{}}");
        }
        Path fleet = bench.folder.resolve("fleet.json");
        Files.writeString(fleet, "{\"listen\":\"127.0.0.1:" + managerPort + "\",\"store\":\""
                + bench.folder.resolve("fleet.store") + "\",\"instances\":[" + instances + "]}");
        bench.startProgram("manager", "manage --fleet " + fleet);
        for (int i = 0; i < count; i++) {
            awaitServing(i);
        }
        Bench.await("the manager", 20_000, () -> Bench.isOpen(managerPort));
        Bench.await("a heard fleet", 20_000, () -> command("list").endsWith("\n0"));
    }

    /** The agent's file; agents are counted from 0. */
    Path file(int agent) {
        return bench.folder.resolve("a" + (agent + 1) + ".json");
    }

    /** The agent's settings with one flag server. */
    String settings(int agent, int flagServer) {
        return "{\"name\":\"a" + (agent + 1) + "\",\"listen\":\"127.0.0.1:" + ports.get(agent) + "\",\"servers\":[{\"name\":\"s\","
                + "\"address\":\"127.0.0.1:" + flagServer + "\",\"build\":1}]}";
    }

    private Process start(int agent) throws IOException {
        String name = "a" + (agent + 1);
        return bench.startAgent(name, Map.of(), " --flags " + file(agent) + " --door 127.0.0.1:" + doors.get(agent)
                + " --ledger " + bench.folder.resolve(name + ".ledger"));
    }

    /** Kills an agent and starts it again under its name, address and ledger. */
    void killAndRestart(int agent) throws Exception {
        bench.signal(agents.get(agent), "KILL");
        agents.get(agent).waitFor();
        agents.set(agent, start(agent));
        awaitServing(agent);
        Bench.await("a door", 10_000, () -> Bench.isOpen(doors.get(agent)));
    }

    private void awaitServing(int agent) throws Exception {
        Bench.await("an answer of a" + (agent + 1), 20_000, () -> isServing(agent));
    }

    /** Whether the agent carries out an evaluation of a new client. */
    boolean isServing(int agent) {
        return servers.evaluate(ports.get(agent), "same-day-rebooking", "u") == 200;
    }

    /** Runs a fleet command; its output, followed by its exit code. */
    String command(String command) throws IOException, InterruptedException {
        return bench.runProgram("fleet " + command + " --manager 127.0.0.1:" + managerPort);
    }
}
