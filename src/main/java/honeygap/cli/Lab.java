package honeygap.cli;

import honeygap.lab.soak.FloodCommand;
import honeygap.lab.soak.SoakCommand;
import picocli.CommandLine;

/** Development tools that run the program in separate processes. */
@CommandLine.Command(name = "lab", mixinStandardHelpOptions = true, subcommands = {SoakCommand.class, FloodCommand.class},
        description = "Run the program in separate processes with injected faults.")
final class Lab implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is missing");
    }
}
