package honeygap.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.Properties;
import picocli.CommandLine;

/** The command line interface, with one subcommand for each way of running honeygap. */
@CommandLine.Command(name = "honeygap", mixinStandardHelpOptions = true, versionProvider = Main.Version.class,
        synopsisSubcommandLabel = "<subcommand>",
        description = "A proxy that tries out new builds on live traffic.",
        subcommands = {Serve.class, Check.class, Render.class, Standin.class,
            CaptureCommand.class, Replay.class, Manage.class, Fleet.class, Rehearse.class,
            Lab.class, VersionCommand.class})
public final class Main implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    private Main() {
    }

    static int run(String[] args, InputStream in, PrintStream out, PrintStream err) {
        return new CommandLine(new Main())
                .addSubcommand(new Wirehost(in, out, err))
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is missing");
    }

    /** The version, written into the properties file by the build. */
    static final class Version implements CommandLine.IVersionProvider {

        @Override
        public String[] getVersion() throws IOException {
            Properties properties = new Properties();
            try (InputStream in = Main.class.getResourceAsStream("/honeygap.properties")) {
                properties.load(in);
            }
            return new String[] {"honeygap " + properties.getProperty("version")};
        }
    }
}
