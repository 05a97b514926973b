package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.config.Template;
import honeygap.standin.FlagServer;
import honeygap.standin.StoreServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;

@CommandLine.Command(name = "standin", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "<kind>",
        description = "Run fake upstream servers for an agent, on loopback.", subcommands = {Standin.Flags.class, Standin.Store.class})
final class Standin implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "say what for, such as flags");
    }

    @CommandLine.Command(name = "flags", mixinStandardHelpOptions = true,
            description = "Run flag servers on consecutive ports until interrupted. POST to /standin/drain, /undrain,"
                    + " /flags, /fail or /delay controls one; docs/flags.md describes the bodies.")
    static final class Flags implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @CommandLine.Option(names = "--port", defaultValue = "18101", description = "The first port.")
        private int port;

        @CommandLine.Option(names = "--count", defaultValue = "3", description = "Number of servers.")
        private int count;

        @CommandLine.Option(names = "--flags", paramLabel = "FILE",
                description = "The flags to serve, as Jsonnet (default: an example with all types).")
        private Path flags;

        @Override
        public Integer call() throws IOException, InterruptedException {
            try {
                for (int i = 0; i < count; i++) {
                    new FlagServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), port + i), readFlags());
                }
            } catch (Malformed e) {
                spec.commandLine().getErr().println("standin: " + flags + ": " + e.getMessage());
                return 2;
            }
            spec.commandLine().getOut().println("flag servers on 127.0.0.1, ports " + port + " to "
                    + (port + count - 1) + "; end with Ctrl-C");
            new CountDownLatch(1).await();
            return 0;
        }

        private JsonObject readFlags() throws IOException, Malformed {
            if (flags != null) {
                return Template.read(flags);
            }
            try (InputStream in = Standin.class.getResourceAsStream("/flags.json");
                    JsonParser parser = new JsonFactory().createParser(in)) {
                return JsonObject.parse(parser);
            }
        }
    }

    @CommandLine.Command(name = "store", mixinStandardHelpOptions = true,
            description = "Run appliances on consecutive ports until interrupted; each answers a statement with a value"
                    + " derived from its key.")
    static final class Store implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @CommandLine.Option(names = "--port", defaultValue = "18201", description = "The first port.")
        private int port;

        @CommandLine.Option(names = "--count", defaultValue = "3", description = "Number of appliances.")
        private int count;

        @CommandLine.Option(names = "--delay", defaultValue = "0", description = "Response delay in milliseconds.")
        private long delay;

        @Override
        public Integer call() throws IOException, InterruptedException {
            for (int i = 0; i < count; i++) {
                new StoreServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), port + i)).setDelay(delay);
            }
            spec.commandLine().getOut().println("appliances on 127.0.0.1, ports " + port + " to " + (port + count - 1)
                    + "; end with Ctrl-C");
            new CountDownLatch(1).await();
            return 0;
        }
    }
}
