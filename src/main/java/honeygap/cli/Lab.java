package honeygap.cli;

import honeygap.lab.soak.SoakCommand;
import picocli.CommandLine;

/** Tools that run the program in processes of their own, for its developers. */
@CommandLine.Command(name = "lab", mixinStandardHelpOptions = true, subcommands = SoakCommand.class,
        description = "Run the program in processes of its own, under faults.")
final class Lab implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a subcommand is missing");
    }
}
