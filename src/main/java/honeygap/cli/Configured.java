package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import honeygap.net.Agent;
import honeygap.net.Loop;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/** A subcommand that makes an agent of a configuration: what is wrong with it is one line and exit code 2. */
abstract class Configured implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:PROXY_CONFIG}",
            description = "What the agent is told at start, as JSON (default: the file in PROXY_CONFIG).")
    private Path config;

    /** Goes on with the agent, not yet started, and what it was told. */
    abstract void run(Agent agent, Fields told, PrintWriter out) throws IOException, Malformed,
            InterruptedException;

    @Override
    public Integer call() throws InterruptedException {
        if (config == null) {
            return fail("no configuration: give --config or set PROXY_CONFIG");
        }
        try {
            Fields told = read();
            run(new Agent(new Loop(), told), told, spec.commandLine().getOut());
            return 0;
        } catch (Malformed e) {
            return fail(config + ": " + e.getMessage());
        } catch (NoSuchFileException e) {
            return fail(config + ": no such file");
        } catch (JsonProcessingException e) {
            return fail(config + ": not JSON");
        } catch (IOException e) {
            return fail(e.getMessage());
        }
    }

    private int fail(String why) {
        spec.commandLine().getErr().println(spec.name() + ": " + why.lines().findFirst().orElse(""));
        return 2;
    }

    final Fields read() throws IOException, Malformed {
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(config))) {
            return Fields.document(parser);
        }
    }
}
