package honeygap.cli;

import honeygap.config.Malformed;
import honeygap.config.Template;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;

@CommandLine.Command(name = "render", mixinStandardHelpOptions = true,
        description = "Evaluate a Jsonnet file and print the resulting JSON.")
final class Render implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws IOException {
        try {
            spec.commandLine().getOut().println(Template.render(file).strip());
            return 0;
        } catch (Malformed e) {
            spec.commandLine().getErr().println("render: " + e.getMessage());
        } catch (NoSuchFileException e) {
            spec.commandLine().getErr().println("render: " + file + ": no such file");
        }
        return 2;
    }
}
