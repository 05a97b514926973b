package honeygap.cli;

import honeygap.simulator.WireHost;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.concurrent.Callable;
import picocli.CommandLine;

@CommandLine.Command(name = "wirehost", mixinStandardHelpOptions = true,
        description = "Host agents on the simulator's wire (standard input and output).")
final class Wirehost implements Callable<Integer> {

    private final InputStream in;
    private final PrintStream out;
    private final PrintStream err;

    Wirehost(InputStream in, PrintStream out, PrintStream err) {
        this.in = in;
        this.out = out;
        this.err = err;
    }

    @Override
    public Integer call() throws Exception {
        return new WireHost(in, out, err).run();
    }
}
