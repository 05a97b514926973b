package honeygap.cli;

import java.io.PrintWriter;

/**
 * Where the program begins. An agent that is told all by its environment starts without the parser of command lines:
 * with nothing to parse, that and the subcommands which it reads would be a third of the start, and after trouble
 * many agents start at once.
 */
public final class Start {

    /** The program's first line, by the runtime's clock; the runtime's own start before it is not in it. */
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
