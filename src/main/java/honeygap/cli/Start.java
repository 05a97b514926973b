package honeygap.cli;

import java.io.PrintWriter;

/**
 * Entry point of the program. A plain "serve" without options, configured by the environment, bypasses the command line
 * parser: loading the parser and its subcommands would take a third of the startup time, which matters when many agents
 * restart at once after an outage.
 */
public final class Start {

    /** Start of the program by {@link System#nanoTime}, without the startup of the JVM before it. */
    static final long STARTED_AT = System.nanoTime();

    private Start() {
    }

    public static void main(String[] args) throws InterruptedException {
        if (args.length > 0 && args[0].equals(Configured.SERVE)) {
            HangUp.installHandler();
        }
        System.exit(args.length == 1 && args[0].equals(Configured.SERVE) ? serveFromEnvironment()
                : Main.run(args, System.in, System.out, System.err));
    }

    private static int serveFromEnvironment() throws InterruptedException {
        return new Serve().withoutCommandLine(System.getenv("PROXY_CONFIG"), new PrintWriter(System.out, true),
                new PrintWriter(System.err, true)).call();
    }
}
