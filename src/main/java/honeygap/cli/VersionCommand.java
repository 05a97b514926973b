package honeygap.cli;

import java.io.IOException;
import picocli.CommandLine;

@CommandLine.Command(name = "version", mixinStandardHelpOptions = true, description = "Print the version.")
final class VersionCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        try {
            spec.commandLine().getOut().println(new Main.Version().getVersion()[0]);
        } catch (IOException e) {
            throw new CommandLine.ExecutionException(spec.commandLine(), "no version", e);
        }
    }
}
