package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import honeygap.manage.host.Selector;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import picocli.CommandLine;

/**
 * Commands for operators of a manager. Exit codes: 0 done, 1 failed or not finished yet, 2 usage error or manager not
 * reachable, 3 an agent is busy with another operation.
 */
@CommandLine.Command(name = "fleet", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "<what>",
        description = "Inspect and control all agents of a manager.", subcommands = {Fleet.ListAgents.class, Fleet.Drain.class,
            Fleet.Undrain.class, Fleet.Update.class, Fleet.Report.class, Fleet.History.class, Fleet.Cancel.class,
            Fleet.Resume.class, picocli.AutoComplete.GenerateCompletion.class})
final class Fleet implements Runnable {

    private static final int EXIT_NOT_DONE = 1;
    private static final int EXIT_ERROR = 2;
    private static final int EXIT_BUSY = 3;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "say what to do, such as list");
    }

    /** A command that sends requests to the manager. */
    abstract static class ManagerCommand implements Callable<Integer> {

        @CommandLine.Spec
        CommandLine.Model.CommandSpec spec;

        @CommandLine.Option(names = "--manager", defaultValue = "${env:HONEYGAP_MANAGER:-127.0.0.1:18700}",
                description = "Address of the manager (default: HONEYGAP_MANAGER, or 127.0.0.1:18700).")
        private String manager;

        @CommandLine.Option(names = "--token-file", description = "A file with the manager's token.")
        private Path tokenFile;

        @CommandLine.Option(names = "--json", description = "Print JSON.")
        boolean json;

        private int status;

        abstract int run(PrintWriter out) throws IOException, Malformed, InterruptedException;

        @Override
        public Integer call() {
            try {
                return run(spec.commandLine().getOut());
            } catch (IOException e) {
                return fail("the manager at " + manager + " does not answer: " + e.getMessage());
            } catch (Malformed | IllegalArgumentException e) {
                return fail(e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return EXIT_NOT_DONE;
            }
        }

        private int fail(String message) {
            spec.commandLine().getErr().println(spec.name() + ": " + message);
            return EXIT_ERROR;
        }

        final int status() {
            return status;
        }

        final String send(String method, String path, String body) throws IOException, InterruptedException {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + manager + path))
                    .timeout(Duration.ofSeconds(10)).method(method, body.isEmpty()
                            ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
            if (tokenFile != null) {
                request.header("Authorization", "Bearer " + Files.readString(tokenFile).strip());
            }
            HttpResponse<String> response = HttpClient.newHttpClient().send(request.build(),
                    HttpResponse.BodyHandlers.ofString());
            status = response.statusCode();
            return response.body();
        }

        static JsonObject parse(String json) throws IOException, Malformed {
            try (JsonParser parser = new JsonFactory().createParser(json)) {
                return JsonObject.parse(parser);
            }
        }

        final JsonObject parseResponse(String json) throws IOException, Malformed {
            JsonObject response = parse(json);
            if (status >= 400 && response.has("error")) {
                throw new Malformed(response.text("error"));
            }
            return response;
        }

        /** Prints a table; each column is as wide as its longest cell. */
        static void printTable(PrintWriter out, List<String[]> rows) {
            int[] widths = new int[rows.get(0).length];
            for (String[] row : rows) {
                for (int i = 0; i < row.length; i++) {
                    widths[i] = Math.max(widths[i], row[i].length());
                }
            }
            for (String[] row : rows) {
                StringBuilder line = new StringBuilder();
                for (int i = 0; i < row.length; i++) {
                    line.append(row[i]).append(" ".repeat(widths[i] - row[i].length() + 2));
                }
                out.println(line.toString().stripTrailing());
            }
        }

        static void printOperation(PrintWriter out, JsonObject operation) throws Malformed {
            out.println("operation " + operation.text("id") + " (number " + operation.longValue("number") + "): "
                    + operation.text("action") + ", " + operation.text("state"));
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"INSTANCE", "STATE", "GENERATION", "TRIES", "WORD"});
            for (JsonObject step : operation.objects("steps")) {
                rows.add(new String[] {step.text("instance"), step.text("state"), step.text("generation"),
                    Long.toString(step.longValue("tries")), step.text("word")});
            }
            printTable(out, rows);
        }
    }

    @CommandLine.Command(name = "list", aliases = "inspect", mixinStandardHelpOptions = true,
            description = "List the status of all agents, or of those that match a selector.")
    static final class ListAgents extends ManagerCommand {

        @CommandLine.Parameters(paramLabel = "SELECTOR", defaultValue = "",
                description = "By labels, as location=east,build<43 (default: all).")
        private String selector;

        @Override
        int run(PrintWriter out) throws IOException, Malformed, InterruptedException {
            Predicate<Map<String, String>> selected = Selector.of(selector);
            String response = send("GET", "/v1/fleet", "");
            JsonObject fleet = parseResponse(response);
            if (json) {
                out.println(response);
                return 0;
            }
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"NAME", "STANDING", "DRAINED", "CLIENTS", "AGE", "RESTARTS", "GENERATION", "FAULT"});
            boolean allAlive = true;
            for (JsonObject instance : fleet.objects("instances")) {
                if (selected.test(labels(instance))) {
                    allAlive &= instance.text("standing").equals("ALIVE");
                    rows.add(new String[] {instance.text("name"), instance.text("standing"), instance.bool("drained") ? "yes" : "no",
                        Long.toString(instance.longValue("clients")), instance.longValue("ageMs") + "ms",
                        Long.toString(instance.longValue("restarts")), instance.text("generation"), instance.text("fault")});
                }
            }
            if (fleet.bool("cutOff")) {
                out.println("the manager receives reports from too few agents to judge any: it may be partitioned from the network itself");
            }
            printTable(out, rows);
            return allAlive ? 0 : EXIT_NOT_DONE;
        }

        static Map<String, String> labels(JsonObject instance) throws Malformed {
            Map<String, String> labels = new HashMap<>();
            JsonObject labelObject = instance.object("labels");
            for (String name : labelObject.names()) {
                labels.put(name, labelObject.text(name));
            }
            return labels;
        }
    }

    /** A command that starts an operation and waits for its end unless --no-wait is given. */
    abstract static class OperationCommand extends ManagerCommand {

        @CommandLine.Parameters(paramLabel = "SELECTOR", defaultValue = "",
                description = "By labels, as location=east,build<43 (default: all).")
        private String selector;

        @CommandLine.Option(names = "--id", description = "The operation's id; repeating an id does not start a second operation.")
        private String id;

        @CommandLine.Option(names = "--again", description = "Start a new operation even if the same command was given a moment ago.")
        private boolean again;

        @CommandLine.Option(names = "--at-once", defaultValue = "1",
                description = "How many agents may be in progress or out of service at once (default: 1).")
        private int atOnce;

        @CommandLine.Option(names = "--failures", defaultValue = "1",
                description = "Pause after this many failed agents; 0 never pauses (default: 1).")
        private int failures;

        @CommandLine.Option(names = "--within", paramLabel = "SECONDS", defaultValue = "60",
                description = "Time limit for sending the command to all agents (default: 60).")
        private int within;

        @CommandLine.Option(names = "--dry-run", description = "Only print the selected agents.")
        private boolean dryRun;

        @CommandLine.Option(names = "--no-wait", description = "Do not wait for the end.")
        private boolean noWait;

        private final ProgressLine progress = new ProgressLine();

        abstract String action();

        @Override
        int run(PrintWriter out) throws IOException, Malformed, InterruptedException {
            Predicate<Map<String, String>> selected = Selector.of(selector);
            List<String> names = new ArrayList<>();
            for (JsonObject instance : parseResponse(send("GET", "/v1/fleet", "")).objects("instances")) {
                if (selected.test(ListAgents.labels(instance))) {
                    names.add(instance.text("name"));
                }
            }
            if (names.isEmpty()) {
                throw new Malformed("no agent matches " + (selector.isEmpty() ? "the empty selector" : selector));
            }
            if (dryRun) {
                out.println("would " + action() + ": " + String.join(", ", names));
                return 0;
            }
            String submitResponse = send("POST", "/v1/operations", "{\"id\":\"" + new String(JsonStringEncoder.getInstance()
                    .quoteAsString(id == null ? UUID.randomUUID().toString() : id)) + "\",\"action\":\"" + action()
                    + "\",\"argument\":\"\",\"instances\":\"" + String.join(",", names) + "\",\"atOnce\":" + atOnce
                    + ",\"failuresToPause\":" + failures + ",\"withinMs\":" + 1000L * within + ",\"again\":" + again + "}");
            JsonObject submitted = parseResponse(submitResponse);
            JsonObject operation = submitted.object("operation");
            switch (submitted.text("taken")) {
                case "BUSY":
                    spec.commandLine().getErr().println(spec.name() + ": operation " + operation.text("id") + " ("
                            + operation.text("action") + ") is in progress on some of these agents; wait for it or cancel it");
                    return EXIT_BUSY;
                case "INVALID":
                    throw new Malformed("the id " + id + " belongs to a different command");
                case "SAME":
                    out.println("the same command is operation " + operation.text("id") + " already");
                    break;
                default:
                    break;
            }
            String response = "";
            while (!noWait && isRunning(operation)) {
                Thread.sleep(100);
                response = send("GET", "/v1/operations/" + operation.text("id"), "");
                operation = parseResponse(response);
                progress.show(operation.text("action") + ": " + finishedSteps(operation) + " of " + names.size());
            }
            progress.clear();
            if (json) {
                out.println(response.isEmpty() ? submitResponse : response);
            } else {
                printOperation(out, operation);
            }
            return operation.text("state").equals("DONE") ? 0 : EXIT_NOT_DONE;
        }

        private static long finishedSteps(JsonObject operation) throws Malformed {
            long finished = 0;
            for (JsonObject step : operation.objects("steps")) {
                finished += List.of("APPLIED", "NOT_APPLIED").contains(step.text("state")) ? 1 : 0;
            }
            return finished;
        }

        private static boolean isRunning(JsonObject operation) throws Malformed {
            return List.of("RUNNING", "CANCELLING").contains(operation.text("state"));
        }
    }

    @CommandLine.Command(name = "drain", mixinStandardHelpOptions = true,
            description = "Drain agents: they accept no new clients and close connections between RPCs.")
    static final class Drain extends OperationCommand {

        @Override
        String action() {
            return "drain";
        }
    }

    @CommandLine.Command(name = "undrain", mixinStandardHelpOptions = true, description = "Let agents accept clients again.")
    static final class Undrain extends OperationCommand {

        @Override
        String action() {
            return "undrain";
        }
    }

    @CommandLine.Command(name = "update", mixinStandardHelpOptions = true,
            description = "Let agents reload their settings files, as on SIGHUP.")
    static final class Update extends OperationCommand {

        @Override
        String action() {
            return "update";
        }
    }

    /** A command on an existing operation. */
    abstract static class ExistingOperationCommand extends ManagerCommand {

        @CommandLine.Parameters(paramLabel = "ID")
        private String id;

        abstract String pathSuffix();

        @Override
        int run(PrintWriter out) throws IOException, Malformed, InterruptedException {
            String response = send(pathSuffix().isEmpty() ? "GET" : "POST", "/v1/operations/" + id + pathSuffix(), "");
            JsonObject operation = parseResponse(response);
            if (json) {
                out.println(response);
            } else {
                printOperation(out, operation);
            }
            return operation.text("state").equals("DONE") || !pathSuffix().isEmpty() ? 0 : EXIT_NOT_DONE;
        }
    }

    @CommandLine.Command(name = "report", mixinStandardHelpOptions = true,
            description = "Show the result of an operation for each agent.")
    static final class Report extends ExistingOperationCommand {

        @Override
        String pathSuffix() {
            return "";
        }
    }

    @CommandLine.Command(name = "cancel", mixinStandardHelpOptions = true,
            description = "Cancel an operation: unsent commands are dropped, and commands in flight are fenced off.")
    static final class Cancel extends ExistingOperationCommand {

        @Override
        String pathSuffix() {
            return "/cancel";
        }
    }

    @CommandLine.Command(name = "resume", mixinStandardHelpOptions = true,
            description = "Resume an operation that was paused after failures.")
    static final class Resume extends ExistingOperationCommand {

        @Override
        String pathSuffix() {
            return "/resume";
        }
    }

    @CommandLine.Command(name = "history", mixinStandardHelpOptions = true, description = "List all stored operations.")
    static final class History extends ManagerCommand {

        @Override
        int run(PrintWriter out) throws IOException, Malformed, InterruptedException {
            String response = send("GET", "/v1/operations", "");
            JsonObject history = parseResponse(response);
            if (json) {
                out.println(response);
                return 0;
            }
            List<String[]> rows = new ArrayList<>();
            rows.add(new String[] {"NUMBER", "ACTION", "STATE", "INSTANCES", "ID"});
            for (JsonObject operation : history.objects("operations")) {
                rows.add(new String[] {Long.toString(operation.longValue("number")), operation.text("action"), operation.text("state"),
                    Integer.toString(operation.objects("steps").size()), operation.text("id")});
            }
            printTable(out, rows);
            return 0;
        }
    }
}
