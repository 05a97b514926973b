package honeygap.manage.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import honeygap.manage.Ledger;
import honeygap.manage.Membership;
import honeygap.manage.Operation;
import honeygap.manage.OperationScheduler;
import honeygap.manage.Step;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Manages many agents: polls their admin endpoints, executes operations, and serves the command line. A single thread
 * makes all decisions; calls to agents run asynchronously and their results return to this thread. Each operation is
 * on disk before any command of it is sent, so that a killed manager continues after a restart.
 */
public final class Manager implements OperationScheduler.Actions, AutoCloseable {

    private static final int RETAINED_OPERATIONS = 1000;
    /** Failed writes per logged warning; while the disk fails, a write is tried every 50 ms. */
    private static final int FAILED_WRITES_PER_WARNING = 200;
    private static final long COMPACT_INTERVAL_S = 600;

    /** Latest report of an agent, and the latest failure to get one. */
    private static final class AgentReport {
        JsonObject inspection;
        long receivedAtMs;
        String fault = "unheard";
    }

    private final FleetSettings settings;
    private final String token;
    private final OperationStore store;
    /** Wall clock at the start, and the monotonic clock at the same time, from which all later times are derived. */
    private final long startWallMs;
    private final long startNanos;
    private long failedWrites;
    private final Membership membership;
    private final OperationScheduler scheduler;
    private final Map<String, AgentReport> reports = new HashMap<>();
    private final HttpClient client;
    private final HttpServer server;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "manager");
        thread.setDaemon(true);
        return thread;
    });

    /** The token authorizes calls to the agents' admin endpoints and to this manager; it may be empty on loopback. */
    public Manager(FleetSettings settings, String token) throws IOException, Malformed {
        this.settings = settings;
        this.token = token;
        if (token.isEmpty() && !settings.listen.getAddress().isLoopbackAddress()) {
            throw new Malformed("a manager without a token may only listen on loopback: " + settings.listen);
        }
        store = new OperationStore(settings.storeFile);
        startWallMs = System.currentTimeMillis();
        startNanos = System.nanoTime();
        membership = new Membership(settings.pollInterval);
        scheduler = new OperationScheduler(System.nanoTime(), membership);
        updateClock();
        for (Operation.Snapshot snapshot : store.loadAll()) {
            scheduler.restore(Operation.of(snapshot));
        }
        client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(settings.answerTimeout / 10))
                .version(HttpClient.Version.HTTP_1_1).build();
        server = BoundedHttp.createServer(settings.listen);
        server.createContext("/v1/", this::handleRequest);
        for (FleetSettings.Instance instance : settings.instances) {
            membership.join(instance.name());
            reports.put(instance.name(), new AgentReport());
        }
    }

    public void start() {
        server.start();
        executor.scheduleWithFixedDelay(() -> runGuarded(this::poll), 0, settings.pollInterval / 10,
                TimeUnit.MILLISECONDS);
        executor.scheduleWithFixedDelay(() -> runGuarded(this::runDecisions), 10, 50, TimeUnit.MILLISECONDS);
        executor.scheduleWithFixedDelay(() -> runGuarded(this::compact), COMPACT_INTERVAL_S, COMPACT_INTERVAL_S,
                TimeUnit.SECONDS);
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (UncheckedIOException e) {
            Logger.debug(e, "write failed, already logged at its source");
        } catch (RuntimeException | Error e) {
            // An error too would otherwise end a scheduled task for good, in a process that lives on.
            Logger.error(e, "unexpected error; the manager continues");
        }
    }

    private void compact() {
        try {
            store.compact(RETAINED_OPERATIONS);
        } catch (IOException e) {
            Logger.warn("operation store cannot be compacted: {}", e.getMessage());
        }
    }

    /** Milliseconds since 1970, from the wall clock at the start; later steps of the wall clock have no effect. */
    private long nowMs() {
        return startWallMs + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private void updateClock() {
        long now = nowMs() * 10;
        membership.advanceTo(now);
        scheduler.setNow(now);
    }

    private FleetSettings.Instance instance(String name) {
        return settings.instances.stream().filter(instance -> instance.name().equals(name)).findFirst().orElseThrow();
    }

    private interface ResponseHandler {

        void handle(int status, JsonObject response);
    }

    /**
     * Calls an agent's admin endpoint. The result is handled on the manager's thread: a response, a failure to
     * connect, or no answer.
     */
    private void call(String name, String method, String path, String body, ResponseHandler handler,
                      Runnable onUnreachable, Runnable onNoAnswer) {
        InetSocketAddress endpoint = instance(name).adminEndpoint();
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + endpoint.getHostString() + ":"
                + endpoint.getPort() + path)).timeout(Duration.ofMillis(settings.answerTimeout / 10));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        request.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body));
        client.sendAsync(request.build(), BoundedHttp.boundedAnswer()).whenComplete((response, failure) ->
                executor.execute(() -> runGuarded(() -> {
                    updateClock();
                    if (failure != null) {
                        // Only a refused connection guarantees that nothing arrived.
                        Throwable cause = failure.getCause() == null ? failure : failure.getCause();
                        reports.get(name).fault = String.valueOf(cause.getMessage());
                        (cause instanceof ConnectException ? onUnreachable : onNoAnswer).run();
                    } else {
                        try (JsonParser parser = new JsonFactory().createParser(response.body())) {
                            handler.handle(response.statusCode(), JsonObject.parse(parser));
                        } catch (IOException | Malformed e) {
                            reports.get(name).fault = "an answer that can't be read";
                            onNoAnswer.run();
                        }
                    }
                    runDecisions();
                })));
    }

    private void poll() {
        updateClock();
        for (FleetSettings.Instance instance : settings.instances) {
            call(instance.name(), "GET", "/v1/inspect", "", (status, inspection) -> {
                AgentReport report = reports.get(instance.name());
                try {
                    if (status != 200) {
                        report.fault = "status " + status + ": " + inspection.text("error", "");
                        return;
                    }
                    report.inspection = inspection;
                    report.receivedAtMs = nowMs();
                    report.fault = "";
                    if (membership.recordHeartbeat(instance.name(), Long.parseLong(inspection.text("generation")))) {
                        Logger.info("instance {} is now a different process", instance.name());
                    }
                    scheduler.setDrained(instance.name(), inspection.bool("drained"));
                } catch (Malformed | NumberFormatException e) {
                    report.fault = "an answer that makes no sense: " + e.getMessage();
                }
            }, () -> { }, () -> { });
        }
    }

    private void runDecisions() {
        updateClock();
        while (scheduler.decideNext(this)) {
            continue;
        }
    }

    @Override
    public void persist(Operation operation) {
        try {
            store.save(operation.snapshot());
        } catch (IOException e) {
            if (failedWrites++ % FAILED_WRITES_PER_WARNING == 0) {
                Logger.warn("operation {} cannot be persisted, will retry: {}; {} failed writes so far", operation.id,
                        e.getMessage(), failedWrites);
            }
            throw new UncheckedIOException(e);
        }
    }

    private static String command(Operation operation, String extraFields) {
        return "{\"id\":" + quoted(operation.id) + ",\"number\":\"" + operation.number + "\"" + extraFields + "}";
    }

    private static String quoted(String text) {
        return '"' + new String(com.fasterxml.jackson.core.io.JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
    }

    @Override
    public void send(Operation operation, Step step, long generation) {
        call(step.instance, "POST", "/v1/command", command(operation, ",\"generation\":\"" + generation
                + "\",\"action\":" + quoted(operation.action) + ",\"argument\":" + quoted(operation.argument)),
                (status, response) -> {
                    String answer = status == 200 ? textOrEmpty(response, "answer") : "";
                    if (answer.equals(Ledger.Answer.APPLY.name()) || answer.equals(Ledger.Answer.ALREADY.name())) {
                        scheduler.onAnswer(operation, step, true, textOrEmpty(response, "outcome"));
                    } else if (answer.equals(Ledger.Answer.TOO_LATE.name())) {
                        scheduler.onAnswer(operation, step, false, "too late: a newer command was first");
                    } else if (status >= 400 && status < 500) {
                        scheduler.onAnswer(operation, step, false, textOrEmpty(response, "error"));
                    } else {
                        scheduler.onNoAnswer(operation, step);
                    }
                }, () -> scheduler.onUnreachable(operation, step), () -> scheduler.onNoAnswer(operation, step));
    }

    private static String textOrEmpty(JsonObject response, String name) {
        try {
            return response.text(name, "");
        } catch (Malformed e) {
            return "";
        }
    }

    private void requestOutcome(Operation operation, Step step, String path) {
        call(step.instance, "POST", path, command(operation, ""), (status, response) -> {
            String outcome = textOrEmpty(response, "outcome");
            if (status != 200) {
                scheduler.onNoAnswer(operation, step);
            } else if (outcome.isEmpty()) {
                scheduler.onNotInLedger(operation, step);
            } else {
                scheduler.onAnswer(operation, step, !outcome.equals(Ledger.CALLED_OFF), outcome);
            }
        }, () -> scheduler.onUnreachable(operation, step), () -> scheduler.onNoAnswer(operation, step));
    }

    @Override
    public void queryLedger(Operation operation, Step step) {
        requestOutcome(operation, step, "/v1/look");
    }

    @Override
    public void callOff(Operation operation, Step step) {
        requestOutcome(operation, step, "/v1/calloff");
    }

    /** A response to the command line. */
    private record Answer(int status, String body) { }

    private void handleRequest(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readNBytes(1 << 16);
        Answer answer;
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if (!token.isEmpty() && !java.security.MessageDigest.isEqual(
                ("Bearer " + token).getBytes(StandardCharsets.UTF_8),
                String.valueOf(authorization).getBytes(StandardCharsets.UTF_8))) {
            answer = new Answer(401, "{\"error\":\"a token is wanted, and not this one\"}");
        } else {
            CompletableFuture<Answer> result = new CompletableFuture<>();
            executor.execute(() -> {
                try {
                    updateClock();
                    Answer routed = route(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), body);
                    // What is acknowledged has to be on disk.
                    runDecisions();
                    result.complete(routed);
                } catch (UncheckedIOException e) {
                    result.complete(new Answer(507, "{\"error\":" + quoted("not written down yet, tried again: "
                            + e.getCause().getMessage()) + "}"));
                } catch (NotPersisted e) {
                    result.complete(new Answer(507, "{\"error\":" + quoted(e.getMessage()) + "}"));
                } catch (IOException | Malformed e) {
                    result.complete(new Answer(400, "{\"error\":" + quoted(String.valueOf(e.getMessage())) + "}"));
                } catch (RuntimeException | Error e) {
                    result.completeExceptionally(e);
                }
            });
            try {
                answer = result.get();
            } catch (InterruptedException | ExecutionException e) {
                answer = new Answer(500, "{\"error\":" + quoted(String.valueOf(e.getMessage())) + "}");
            }
        }
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private Answer route(String method, String path, byte[] body) throws IOException, Malformed {
        if (method.equals("GET") && path.equals("/v1/fleet")) {
            return new Answer(200, fleetJson());
        }
        if (method.equals("GET") && path.equals("/v1/operations")) {
            List<String> all = new ArrayList<>();
            for (Operation operation : scheduler.operations()) {
                all.add(OperationStore.toJson(operation.snapshot()));
            }
            return new Answer(200, "{\"operations\":[" + String.join(",", all) + "]}");
        }
        if (method.equals("POST") && path.equals("/v1/operations")) {
            return createOperation(body);
        }
        String[] parts = path.split("/");
        Operation operation = parts.length > 3 ? scheduler.operation(parts[3]) : null;
        if (operation == null || !parts[2].equals("operations")) {
            return new Answer(404, "{\"error\":\"no such operation\"}");
        }
        if (method.equals("POST") && parts.length == 5 && parts[4].equals("cancel")) {
            scheduler.cancel(operation);
        } else if (method.equals("POST") && parts.length == 5 && parts[4].equals("resume")) {
            scheduler.resume(operation);
        }
        return new Answer(200, OperationStore.toJson(operation.snapshot()));
    }

    private Answer createOperation(byte[] body) throws IOException, Malformed {
        JsonObject request;
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            request = JsonObject.parse(parser);
        }
        List<String> instances = new ArrayList<>();
        for (String name : request.text("instances").split(",")) {
            if (settings.instances.stream().noneMatch(instance -> instance.name().equals(name))) {
                throw new Malformed("no instance goes by the name of " + name);
            }
            instances.add(name);
        }
        OperationScheduler.Admission[] admission = new OperationScheduler.Admission[1];
        Operation operation = scheduler.request(request.text("id"), request.text("action"),
                request.text("argument", ""), instances,
                request.intValue("atOnce", 1), request.intValue("failuresToPause", 1),
                10L * request.intValue("withinMs", 60_000),
                request.bool("again", false), admission);
        if (admission[0] == OperationScheduler.Admission.NEW) {
            persistNew(operation);
        }
        String json = "{\"taken\":\"" + admission[0] + "\",\"operation\":"
                + OperationStore.toJson(operation.snapshot()) + "}";
        return new Answer(admission[0] == OperationScheduler.Admission.BUSY
                || admission[0] == OperationScheduler.Admission.INVALID ? 409 : 200, json);
    }

    /** Persists a new operation before it is acknowledged; one that cannot be persisted is rejected. */
    private void persistNew(Operation operation) throws IOException {
        try {
            store.save(operation.snapshot());
        } catch (IOException e) {
            scheduler.withdraw(operation);
            throw new NotPersisted(e);
        }
    }

    /** A requested operation could not be persisted and will not be executed. */
    private static final class NotPersisted extends IOException {

        private static final long serialVersionUID = 1;

        NotPersisted(IOException cause) {
            super("not taken on, it can't be written down: " + cause.getMessage(), cause);
        }
    }

    private String fleetJson() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeBooleanField("cutOff", membership.isCutOff());
            out.writeArrayFieldStart("instances");
            for (FleetSettings.Instance instance : settings.instances) {
                Membership.Member member = membership.member(instance.name());
                AgentReport report = reports.get(instance.name());
                out.writeStartObject();
                out.writeStringField("name", instance.name());
                out.writeStringField("door", instance.adminEndpoint().getHostString() + ":"
                        + instance.adminEndpoint().getPort());
                out.writeStringField("standing", member.standing().name());
                out.writeStringField("generation", Long.toString(member.generation));
                out.writeNumberField("restarts", member.restarts);
                out.writeBooleanField("drained", scheduler.drained().contains(instance.name()));
                out.writeNumberField("clients", report.inspection == null ? -1 : clientCount(report.inspection));
                out.writeNumberField("ageMs", report.receivedAtMs == 0 ? -1 : nowMs() - report.receivedAtMs);
                out.writeStringField("fault", report.fault);
                out.writeObjectFieldStart("labels");
                for (Map.Entry<String, String> label : instance.labels().entrySet()) {
                    out.writeStringField(label.getKey(), label.getValue());
                }
                out.writeEndObject();
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private static long clientCount(JsonObject inspection) {
        try {
            return inspection.longValue("clients", -1);
        } catch (Malformed e) {
            return -1;
        }
    }

    @Override
    public void close() {
        BoundedHttp.close(server);
        // Does not interrupt the thread: an interrupt during a write would close the store's file.
        executor.shutdown();
        try {
            executor.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
