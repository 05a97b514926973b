package honeygap.cli;

import honeygap.wire.WireHost;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Properties;

/** The command line: one subcommand for each way of running honeygap. */
public final class Main {

    private static final String USAGE = """
            usage: java -jar honeygap.jar <subcommand>

            subcommands:
              wirehost    host agents on the simulator's wire (standard input and output)

            options:
              --help      print this text
              --version   print the version
            """;

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        System.exit(run(args, System.in, System.out, System.err));
    }

    static int run(String[] args, InputStream in, PrintStream out, PrintStream err) throws IOException {
        String first = args.length == 1 ? args[0] : "";
        switch (first) {
            case "wirehost":
                return new WireHost(in, out, err).run();
            case "--help":
                out.print(USAGE);
                return 0;
            case "--version":
                out.println("honeygap " + version());
                return 0;
            default:
                err.print(USAGE);
                return 2;
        }
    }

    private static String version() throws IOException {
        Properties properties = new Properties();
        try (InputStream in = Main.class.getResourceAsStream("/honeygap.properties")) {
            properties.load(in);
        }
        return properties.getProperty("version");
    }
}
