package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import honeygap.net.Agent;
import honeygap.net.EventLog;
import honeygap.net.FlagProtocol;
import honeygap.net.Loop;
import honeygap.net.Protocol;
import honeygap.net.PostgresProtocol;
import honeygap.config.JsonObject;
import honeygap.config.FlagSettings;
import honeygap.config.Malformed;
import honeygap.config.Template;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.tinylog.configuration.Configuration;
import picocli.CommandLine;

/** A subcommand that creates an agent from its settings files. Invalid files are reported with exit code 2. */
abstract class Configured implements Callable<Integer> {

    static final String SERVE = "serve";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:PROXY_CONFIG}",
            description = "Settings of the agent, as JSON (default: the file named by PROXY_CONFIG).")
    private Path config;

    @CommandLine.Option(names = "--flags", paramLabel = "FILE",
            description = "Also serve feature flags, with the settings in this Jsonnet file; without --config, only flags.")
    private Path flags;

    @CommandLine.Option(names = "--log", paramLabel = "FORM", defaultValue = "text",
            description = "Log format: text, or json with one event per line (default: text).")
    private LogFormat logFormat;

    /** Log format; the names are the values of the option. */
    enum LogFormat { text, json }

    /** Output and error streams for use without a parsed command line; null otherwise. */
    private PrintWriter directOut, directErr;

    private final List<Agent.Source> sources = new ArrayList<>();
    private JsonObject agentSettings;
    private FlagSettings flagSettings;

    /** Configures the command without picocli: the settings file, which may be null, and the output streams. */
    final Configured withoutCommandLine(String file, PrintWriter out, PrintWriter err) {
        config = file == null ? null : Path.of(file);
        directOut = out;
        directErr = err;
        return this;
    }

    /** Called with the new event loop before anything is registered on it. */
    void loopCreated(Loop loop) throws IOException {
    }

    /** Runs the command with the agent, which has not been started yet. */
    abstract void run(Agent agent, PrintWriter out) throws IOException, Malformed, InterruptedException;

    @Override
    public Integer call() throws InterruptedException {
        if (logFormat == LogFormat.json) {
            Configuration.set("writer", "json lines");
        }
        if (config == null && flags == null) {
            return fail("no configuration: give --config, --flags or set PROXY_CONFIG");
        }
        Path file = config;
        try {
            Loop loop = new Loop();
            loopCreated(loop);
            List<Protocol> protocols = new ArrayList<>();
            if (config != null) {
                agentSettings = readConfig();
                PostgresProtocol queries = new PostgresProtocol(loop, agentSettings);
                protocols.add(queries);
                sources.add(() -> queries.reload(readConfig()));
                if (agentSettings.has("name")) {
                    EventLog.setAgent(agentSettings.text("name"));
                }
            }
            file = flags;
            if (flags != null) {
                flagSettings = FlagSettings.parse(Template.read(flags));
                if (config == null && !flagSettings.name.isEmpty()) {
                    EventLog.setAgent(flagSettings.name);
                }
                FlagProtocol protocol = new FlagProtocol(loop, flagSettings, new SecureRandom().nextLong());
                protocols.add(protocol);
                sources.add(() -> protocol.reload(FlagSettings.parse(Template.read(flags))));
            }
            run(new Agent(loop, protocols), spec == null ? directOut : spec.commandLine().getOut());
            return 0;
        } catch (Malformed e) {
            e.getMessage().lines().forEach(line -> fail(faultyFile(e) + ": " + line));
            return 2;
        } catch (NoSuchFileException e) {
            return fail(e.getFile() + ": no such file");
        } catch (JsonProcessingException e) {
            return fail(file + ": not JSON");
        } catch (IOException e) {
            return fail(e.getMessage());
        }
    }

    private Path faultyFile(Malformed e) {
        return agentSettings == null && config != null ? config : flagSettings == null && flags != null ? flags : config;
    }

    private int fail(String message) {
        String name = spec == null ? SERVE : spec.name();
        PrintWriter err = spec == null ? directErr : spec.commandLine().getErr();
        err.println(name + ": " + message.lines().findFirst().orElse(""));
        return 2;
    }

    /** The settings files of the agent, for reloading. */
    final List<Agent.Source> sources() {
        return sources;
    }

    /** The agent's startup settings; null if it serves flags only. */
    final JsonObject agentSettings() {
        return agentSettings;
    }

    /** The flag settings; null if the agent serves no flags. */
    final FlagSettings flagSettings() {
        return flagSettings;
    }

    private JsonObject readConfig() throws IOException, Malformed {
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(config))) {
            return JsonObject.parse(parser);
        }
    }
}
