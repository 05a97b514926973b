package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.net.Agent;
import honeygap.net.Loop;
import honeygap.net.PostgresProtocol;
import honeygap.net.pg.PgMessages;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.standin.StoreServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.jar.JarFile;
import picocli.CommandLine;

/**
 * Starts an agent on loopback, lets it serve one RPC and exits. The build runs it so that the JVM can write a class
 * data sharing archive of the classes that an agent needs, which saves loading and verifying them at each start.
 */
@CommandLine.Command(name = "rehearse", mixinStandardHelpOptions = true,
        description = "Start an agent on loopback, serve one RPC and exit; used by the build to archive the classes.")
final class Rehearse implements Callable<Integer> {

    private static final int READ_TIMEOUT_MS = 5000;
    /** Name prefixes of the classes that an agent uses; the rest of the jar is for other subcommands. */
    private static final List<String> PARTS = List.of("honeygap/DecisionEngine", "honeygap/DecisionHandler", "honeygap/rules/",
            "honeygap/settings/", "honeygap/fleet/", "honeygap/net/", "honeygap/config/", "honeygap/cli/Serve",
            "honeygap/cli/Configured", "honeygap/cli/Start", "honeygap/cli/HangUp");

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException, Malformed, ReflectiveOperationException {
        InetSocketAddress anyLoopbackPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        InetSocketAddress applianceAddress = new StoreServer(anyLoopbackPort).address();
        Loop loop = new Loop();
        Agent agent = new Agent(loop, List.of(new PostgresProtocol(loop, agentSettings(applianceAddress.getPort()))));
        agent.start();
        try (Socket client = new Socket(anyLoopbackPort.getAddress(), agent.address(0).getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MS);
            write(client, PgMessages.startupMessage());
            write(client, PgMessages.query("SELECT content FROM kv WHERE name = 'k1' /* id=1,c=look,t=t,d=2000 */"));
            InputStream in = client.getInputStream();
            int type = in.read();
            while (type >= 0 && type != 'C' && type != 'E') {
                type = in.read();
            }
        }
        int loaded = loadAgentClasses();
        agent.close();
        spec.commandLine().getOut().println("rehearsed, " + loaded + " classes of the agent");
        return 0;
    }

    private static void write(Socket client, ByteBuffer message) throws IOException {
        byte[] bytes = new byte[message.remaining()];
        message.duplicate().get(bytes);
        client.getOutputStream().write(bytes);
    }

    private static int loadAgentClasses() throws IOException, ReflectiveOperationException {
        int loaded = 0;
        Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().getPath());
        if (!Files.isRegularFile(jar)) {
            return 0;    // Classes outside a jar cannot be archived.
        }
        try (JarFile file = new JarFile(jar.toFile())) {
            for (String name : file.stream().map(entry -> entry.getName()).sorted().toList()) {
                if (name.endsWith(".class") && PARTS.stream().anyMatch(name::startsWith)) {
                    Class.forName(name.substring(0, name.length() - 6).replace('/', '.'));
                    loaded++;
                }
            }
        }
        return loaded;
    }

    private static JsonObject agentSettings(int port) throws IOException, Malformed {
        String json = """
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256},
                 "rollouts": {"address": "127.0.0.1:1", "news": {"Revision": 2, "Wave": 0, "State": "Progressing",
                  "MaxShare": 0.5, "AgeMs": 10}},
                 "known": {"index": 1, "snapshot": true, "endpoints": [{"name": "one", "address": "127.0.0.1:%d",
                  "zone": "a", "type": "m", "group": 1, "status": "SERVING", "since_ms": 0, "release": 1}]},
                 "settings": {"TickNs": 1000000, "FleetSize": 1, "RegistryMode": "ask",
                  "Classes": [{"Name": "look", "AimNs": 500000000, "GiveUpNs": 2000000000, "Effect": "read_like"}],
                  "Accounts": [{"Name": "t", "QuotaPerS": 100.0, "Share": 1.0}], "Ceilings": {"MaxAttempts": 3},
                  "Rules": {"MustAskInNs": 10000000000}, "FamilyInfo": {"GateMode": "by_count"}}}
                """.formatted(port);
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            return JsonObject.parse(parser);
        }
    }
}
