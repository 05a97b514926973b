package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import honeygap.net.Agent;
import honeygap.net.Events;
import honeygap.net.Flags;
import honeygap.net.Loop;
import honeygap.net.Protocol;
import honeygap.net.Queries;
import honeygap.read.Fields;
import honeygap.read.FlagSheet;
import honeygap.read.Malformed;
import honeygap.read.Template;
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

/** A subcommand that makes an agent of its files: what is wrong with them is told and ends with exit code 2. */
abstract class Configured implements Callable<Integer> {

    static final String SERVE = "serve";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--config", paramLabel = "FILE", defaultValue = "${env:PROXY_CONFIG}",
            description = "What the agent is told at start, as JSON (default: the file in PROXY_CONFIG).")
    private Path config;

    @CommandLine.Option(names = "--flags", paramLabel = "FILE",
            description = "Answer flags as well, as this Jsonnet file says; without --config, flags alone.")
    private Path flags;

    @CommandLine.Option(names = "--log", paramLabel = "FORM", defaultValue = "text",
            description = "How the log is written: text, or json, an event a line (default: text).")
    private Form form;

    /** How the log is written. */
    enum Form { text, json }

    /** Where it writes and what it is called, where no command line was parsed. */
    private PrintWriter plainOut, plainErr;

    private final List<Agent.Source> sources = new ArrayList<>();
    private Fields agentSettings;
    private FlagSheet flagSettings;

    /** Without a command line: goes by this file, and writes there. */
    final Configured withoutCommandLine(String file, PrintWriter out, PrintWriter err) {
        config = file == null ? null : Path.of(file);
        plainOut = out;
        plainErr = err;
        return this;
    }

    /** The agent's loop, before anything is on it. */
    void loopCreated(Loop loop) throws IOException {
    }

    /** Goes on with the agent, not yet started. */
    abstract void run(Agent agent, PrintWriter out) throws IOException, Malformed, InterruptedException;

    @Override
    public Integer call() throws InterruptedException {
        if (form == Form.json) {
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
                Queries queries = new Queries(loop, agentSettings);
                protocols.add(queries);
                sources.add(() -> queries.reread(readConfig()));
                if (agentSettings.has("name")) {
                    Events.agent(agentSettings.text("name"));
                }
            }
            file = flags;
            if (flags != null) {
                flagSettings = FlagSheet.of(Template.read(flags));
                if (config == null && !flagSettings.name.isEmpty()) {
                    Events.agent(flagSettings.name);
                }
                Flags protocol = new Flags(loop, flagSettings, new SecureRandom().nextLong());
                protocols.add(protocol);
                sources.add(() -> protocol.reread(FlagSheet.of(Template.read(flags))));
            }
            run(new Agent(loop, protocols), spec == null ? plainOut : spec.commandLine().getOut());
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
        PrintWriter err = spec == null ? plainErr : spec.commandLine().getErr();
        err.println(name + ": " + message.lines().findFirst().orElse(""));
        return 2;
    }

    /** All files of the agent, to be read once more. */
    final List<Agent.Source> sources() {
        return sources;
    }

    /** What the agent is told at start; null where it answers flags alone. */
    final Fields agentSettings() {
        return agentSettings;
    }

    /** Null where no flags are answered. */
    final FlagSheet flagSettings() {
        return flagSettings;
    }

    private Fields readConfig() throws IOException, Malformed {
        try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(config))) {
            return Fields.document(parser);
        }
    }
}
