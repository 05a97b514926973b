package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
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
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;

@CommandLine.Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Run one agent on sockets.")
final class Serve implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:PROXY_CONFIG}",
            description = "What the agent is told at start, as JSON (default: the file in PROXY_CONFIG).")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        if (config == null) {
            err.println("serve: no configuration: give --config or set PROXY_CONFIG");
            return 2;
        }
        Agent agent;
        try {
            agent = new Agent(new Loop(), read(config));
            agent.start();
        } catch (Malformed e) {
            err.println("serve: " + config + ": " + e.getMessage());
            return 2;
        } catch (NoSuchFileException e) {
            err.println("serve: " + config + ": no such file");
            return 2;
        } catch (JsonProcessingException e) {
            err.println("serve: " + config + ": not JSON");
            return 2;
        } catch (IOException e) {
            err.println("serve: " + e.getMessage());
            return 2;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                agent.leave();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "leaving"));
        new CountDownLatch(1).await();
        return 0;
    }

    private static Fields read(Path file) throws IOException, Malformed {
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("not an object");
            }
            return Fields.read(parser);
        }
    }
}
