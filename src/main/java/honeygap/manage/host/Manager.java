package honeygap.manage.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import honeygap.manage.Ledger;
import honeygap.manage.Membership;
import honeygap.manage.Operation;
import honeygap.manage.Operations;
import honeygap.manage.Step;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
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
 * The managing agent: polls the doors of its agents, carries out operations, and answers the command line. One thread owns
 * the decisions; calls go out beside it and come back to it. Each operation is on the disk before anything of it goes
 * out, so that a manager that was killed goes on where it was.
 */
public final class Manager implements Operations.Out, AutoCloseable {

    private static final int KEPT = 1000;
    /** Tries to write come every 50 ms while the disk fails. */
    private static final int LOG_EVERY = 200;
    private static final long COMPACT_S = 600;

    /** What an agent said of itself last. */
    private static final class Seen {
        Fields said;
        long at;
        String fault = "unheard";
    }

    private final FleetSheet sheet;
    private final String token;
    private final Log log;
    /** The wall clock when it started, for people, and the monotonic clock then, by which all times go on. */
    private final long zeroMs;
    private final long zeroNanos;
    private long notKept;
    private final Membership membership;
    private final Operations operations;
    private final Map<String, Seen> seen = new HashMap<>();
    private final HttpClient client;
    private final HttpServer server;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread made = new Thread(task, "manager");
        made.setDaemon(true);
        return made;
    });

    /** The token opens the doors of agents, and this manager's own; it may be empty on loopback. */
    public Manager(FleetSheet sheet, String token) throws IOException, Malformed {
        this.sheet = sheet;
        this.token = token;
        if (token.isEmpty() && !sheet.listen.getAddress().isLoopbackAddress()) {
            throw new Malformed("a manager listens on loopback alone unless it has a token: " + sheet.listen);
        }
        log = new Log(sheet.store);
        zeroMs = System.currentTimeMillis();
        zeroNanos = System.nanoTime();
        membership = new Membership(sheet.every);
        operations = new Operations(System.nanoTime(), membership);
        tick();
        for (Operation.Written written : log.read()) {
            operations.restored(Operation.of(written));
        }
        client = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(sheet.answerWithin / 10))
                .version(HttpClient.Version.HTTP_1_1).build();
        server = HttpServer.create(sheet.listen, 64);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread made = new Thread(task, "asked");
            made.setDaemon(true);
            return made;
        }));
        server.createContext("/v1/", this::asked);
        for (FleetSheet.Instance instance : sheet.instances) {
            membership.joined(instance.name());
            seen.put(instance.name(), new Seen());
        }
    }

    public void start() {
        server.start();
        thread.scheduleWithFixedDelay(() -> guarded(this::poll), 0, sheet.every / 10, TimeUnit.MILLISECONDS);
        thread.scheduleWithFixedDelay(() -> guarded(this::pull), 10, 50, TimeUnit.MILLISECONDS);
        thread.scheduleWithFixedDelay(() -> guarded(this::compact), COMPACT_S, COMPACT_S, TimeUnit.SECONDS);
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (UncheckedIOException e) {
            Logger.debug(e, "not written down, told where it happened");
        } catch (RuntimeException e) {
            Logger.error(e, "a fault, gone on from");
        }
    }

    private void compact() {
        try {
            log.compact(KEPT);
        } catch (IOException e) {
            Logger.warn("the log can't be compacted: {}", e.getMessage());
        }
    }

    /** Milliseconds since 1970 as of the start; a step of the wall clock since then does not show. */
    private long nowMs() {
        return zeroMs + (System.nanoTime() - zeroNanos) / 1_000_000;
    }

    private void tick() {
        long now = nowMs() * 10;
        membership.now(now);
        operations.now(now);
    }

    private FleetSheet.Instance instance(String name) {
        return sheet.instances.stream().filter(one -> one.name().equals(name)).findFirst().orElseThrow();
    }

    private interface Heard {

        void heard(int status, Fields said);
    }

    /** Calls a door; what comes of it is told on this manager's thread: an answer, not reached, or no answer. */
    private void call(String name, String method, String path, String body, Heard heard, Runnable unreached,
                      Runnable unanswered) {
        InetSocketAddress door = instance(name).door();
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + door.getHostString() + ":"
                + door.getPort() + path)).timeout(Duration.ofMillis(sheet.answerWithin / 10));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        request.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofString(body));
        client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray()).whenComplete((answer, fault) ->
                thread.execute(() -> guarded(() -> {
                    tick();
                    if (fault != null) {
                        // Only a connection that was refused surely brought nothing there.
                        Throwable cause = fault.getCause() == null ? fault : fault.getCause();
                        seen.get(name).fault = String.valueOf(cause.getMessage());
                        (cause instanceof ConnectException ? unreached : unanswered).run();
                    } else {
                        try (JsonParser parser = new JsonFactory().createParser(answer.body())) {
                            heard.heard(answer.statusCode(), Fields.document(parser));
                        } catch (IOException | Malformed e) {
                            seen.get(name).fault = "an answer that can't be read";
                            unanswered.run();
                        }
                    }
                    pull();
                })));
    }

    private void poll() {
        tick();
        for (FleetSheet.Instance one : sheet.instances) {
            call(one.name(), "GET", "/v1/inspect", "", (status, said) -> {
                Seen instance = seen.get(one.name());
                try {
                    if (status != 200) {
                        instance.fault = "status " + status + ": " + said.text("error", "");
                        return;
                    }
                    instance.said = said;
                    instance.at = nowMs();
                    instance.fault = "";
                    if (membership.sign(one.name(), Long.parseLong(said.text("generation")))) {
                        Logger.info("{} is another process than before", one.name());
                    }
                    operations.stands(one.name(), said.flag("drained"));
                } catch (Malformed | NumberFormatException e) {
                    instance.fault = "an answer that makes no sense: " + e.getMessage();
                }
            }, () -> { }, () -> { });
        }
    }

    private void pull() {
        tick();
        while (operations.next(this)) {
            continue;
        }
    }

    @Override
    public void keep(Operation operation) {
        try {
            log.keep(operation.written());
        } catch (IOException e) {
            if (notKept++ % LOG_EVERY == 0) {
                Logger.warn("operation {} can't be written down, tried again: {}; {} such so far", operation.id,
                        e.getMessage(), notKept);
            }
            throw new UncheckedIOException(e);
        }
    }

    private static String command(Operation operation, String more) {
        return "{\"id\":" + quoted(operation.id) + ",\"number\":\"" + operation.number + "\"" + more + "}";
    }

    private static String quoted(String words) {
        return '"' + new String(com.fasterxml.jackson.core.io.JsonStringEncoder.getInstance().quoteAsString(words)) + '"';
    }

    @Override
    public void send(Operation operation, Step step, long generation) {
        call(step.instance, "POST", "/v1/command", command(operation, ",\"generation\":\"" + generation
                + "\",\"action\":" + quoted(operation.action) + ",\"argument\":" + quoted(operation.argument)),
                (status, said) -> {
                    String answer = status == 200 ? word(said, "answer") : "";
                    if (answer.equals(Ledger.Answer.APPLY.name()) || answer.equals(Ledger.Answer.ALREADY.name())) {
                        operations.answered(operation, step, true, word(said, "outcome"));
                    } else if (answer.equals(Ledger.Answer.TOO_LATE.name())) {
                        operations.answered(operation, step, false, "too late: a newer command was first");
                    } else if (status >= 400 && status < 500) {
                        operations.answered(operation, step, false, word(said, "error"));
                    } else {
                        operations.noAnswer(operation, step);
                    }
                }, () -> operations.unreached(operation, step), () -> operations.noAnswer(operation, step));
    }

    private static String word(Fields said, String name) {
        try {
            return said.text(name, "");
        } catch (Malformed e) {
            return "";
        }
    }

    private void look(Operation operation, Step step, String path) {
        call(step.instance, "POST", path, command(operation, ""), (status, said) -> {
            String outcome = word(said, "outcome");
            if (status != 200) {
                operations.noAnswer(operation, step);
            } else if (outcome.isEmpty()) {
                operations.notInLedger(operation, step);
            } else {
                operations.answered(operation, step, !outcome.equals(Ledger.CALLED_OFF), outcome);
            }
        }, () -> operations.unreached(operation, step), () -> operations.noAnswer(operation, step));
    }

    @Override
    public void ask(Operation operation, Step step) {
        look(operation, step, "/v1/look");
    }

    @Override
    public void callOff(Operation operation, Step step) {
        look(operation, step, "/v1/calloff");
    }

    /** An answer to the command line. */
    private record Answer(int status, String body) { }

    private void asked(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readNBytes(1 << 16);
        Answer answer;
        String authorization = exchange.getRequestHeaders().getFirst("Authorization");
        if (!token.isEmpty() && !java.security.MessageDigest.isEqual(("Bearer " + token).getBytes(StandardCharsets.UTF_8),
                String.valueOf(authorization).getBytes(StandardCharsets.UTF_8))) {
            answer = new Answer(401, "{\"error\":\"a token is wanted, and not this one\"}");
        } else {
            CompletableFuture<Answer> done = new CompletableFuture<>();
            thread.execute(() -> {
                try {
                    tick();
                    Answer made = answer(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), body);
                    // What is answered as done is on the disk.
                    pull();
                    done.complete(made);
                } catch (UncheckedIOException e) {
                    done.complete(new Answer(507, "{\"error\":" + quoted("not written down yet, tried again: "
                            + e.getCause().getMessage()) + "}"));
                } catch (NotKept e) {
                    done.complete(new Answer(507, "{\"error\":" + quoted(e.getMessage()) + "}"));
                } catch (IOException | Malformed e) {
                    done.complete(new Answer(400, "{\"error\":" + quoted(String.valueOf(e.getMessage())) + "}"));
                } catch (RuntimeException e) {
                    done.completeExceptionally(e);
                }
            });
            try {
                answer = done.get();
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

    private Answer answer(String method, String path, byte[] body) throws IOException, Malformed {
        if (method.equals("GET") && path.equals("/v1/fleet")) {
            return new Answer(200, fleet());
        }
        if (method.equals("GET") && path.equals("/v1/operations")) {
            List<String> all = new ArrayList<>();
            for (Operation operation : operations.operations()) {
                all.add(Log.json(operation.written()));
            }
            return new Answer(200, "{\"operations\":[" + String.join(",", all) + "]}");
        }
        if (method.equals("POST") && path.equals("/v1/operations")) {
            return begin(body);
        }
        String[] parts = path.split("/");
        Operation operation = parts.length > 3 ? operations.operation(parts[3]) : null;
        if (operation == null || !parts[2].equals("operations")) {
            return new Answer(404, "{\"error\":\"no such operation\"}");
        }
        if (method.equals("POST") && parts.length == 5 && parts[4].equals("cancel")) {
            operations.cancelled(operation);
        } else if (method.equals("POST") && parts.length == 5 && parts[4].equals("resume")) {
            operations.resumed(operation);
        }
        return new Answer(200, Log.json(operation.written()));
    }

    private Answer begin(byte[] body) throws IOException, Malformed {
        Fields told;
        try (JsonParser parser = new JsonFactory().createParser(body)) {
            told = Fields.document(parser);
        }
        List<String> instances = new ArrayList<>();
        for (String name : told.text("instances").split(",")) {
            if (sheet.instances.stream().noneMatch(one -> one.name().equals(name))) {
                throw new Malformed("no instance goes by the name of " + name);
            }
            instances.add(name);
        }
        Operations.Taken[] taken = new Operations.Taken[1];
        Operation operation = operations.asked(told.text("id"), told.text("action"), told.text("argument", ""), instances,
                told.index("atOnce", 1), told.index("failuresToPause", 1), 10L * told.index("withinMs", 60_000),
                told.flag("again", false), taken);
        if (taken[0] == Operations.Taken.NEW) {
            keepNew(operation);
        }
        String word = "{\"taken\":\"" + taken[0] + "\",\"operation\":" + Log.json(operation.written()) + "}";
        return new Answer(taken[0] == Operations.Taken.BUSY || taken[0] == Operations.Taken.INVALID ? 409 : 200, word);
    }

    /** What is answered as taken on is on the disk; what can't be written down is not taken on. */
    private void keepNew(Operation operation) throws IOException {
        try {
            log.keep(operation.written());
        } catch (IOException e) {
            operations.withdrawn(operation);
            throw new NotKept(e);
        }
    }

    /** What was asked for can't be written down: nothing of it will be done. */
    private static final class NotKept extends IOException {

        private static final long serialVersionUID = 1;

        NotKept(IOException cause) {
            super("not taken on, it can't be written down: " + cause.getMessage(), cause);
        }
    }

    private String fleet() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.writeStartObject();
            out.writeBooleanField("cutOff", membership.isCutOff());
            out.writeArrayFieldStart("instances");
            for (FleetSheet.Instance instance : sheet.instances) {
                Membership.Member member = membership.member(instance.name());
                Seen now = seen.get(instance.name());
                out.writeStartObject();
                out.writeStringField("name", instance.name());
                out.writeStringField("door", instance.door().getHostString() + ":" + instance.door().getPort());
                out.writeStringField("standing", member.standing().name());
                out.writeStringField("generation", Long.toString(member.generation));
                out.writeNumberField("restarts", member.restarts);
                out.writeBooleanField("drained", operations.drained().contains(instance.name()));
                out.writeNumberField("clients", now.said == null ? -1 : clients(now.said));
                out.writeNumberField("ageMs", now.at == 0 ? -1 : nowMs() - now.at);
                out.writeStringField("fault", now.fault);
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

    private static long clients(Fields said) {
        try {
            return said.whole("clients", -1);
        } catch (Malformed e) {
            return -1;
        }
    }

    @Override
    public void close() {
        server.stop(0);
        // No interrupt: it would close the store's file under a write.
        thread.shutdown();
        try {
            thread.awaitTermination(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.close();
    }
}
