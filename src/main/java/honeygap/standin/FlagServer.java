package honeygap.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A fake flag server for trying out an agent. It speaks the OpenFeature remote evaluation protocol over HTTP/1.1, and
 * has control paths to drain it, replace its flags or inject failures. For use on loopback; not optimised for speed.
 */
public final class FlagServer implements AutoCloseable {

    private static final String EVALUATE_PATH = "/ofrep/v1/evaluate/flags";

    static {
        // Head and body are written separately: with Nagle's algorithm the body waits for a delayed acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private final HttpServer server;
    private final ExecutorService threads;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong tracked = new AtomicLong();
    private volatile FlagSet flagSet;
    private volatile boolean draining;
    private volatile int failStatus;
    private volatile double failShare;
    private volatile long delayMs;

    /** Starts the server; port 0 selects any free port. */
    public FlagServer(InetSocketAddress address, JsonObject flags) throws IOException, Malformed {
        flagSet = new FlagSet(flags);
        server = HttpServer.create(address, 1024);
        threads = Executors.newFixedThreadPool(8, task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext(EVALUATE_PATH, this::evaluate);
        server.createContext("/ofrep/v1/track", this::track);
        server.createContext("/standin/", this::control);
        server.start();
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** The number of successful evaluations so far. */
    public long served() {
        return served.get();
    }

    public long tracked() {
        return tracked.get();
    }

    public void setFlags(JsonObject flags) throws Malformed {
        flagSet = new FlagSet(flags);
    }

    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Answers this share of the requests with this HTTP status; status 0 ends it. */
    public void setFailure(int status, double share) {
        failStatus = status;
        failShare = share;
    }

    public void setDelay(long ms) {
        delayMs = ms;
    }

    private interface BodyWriter {

        void write(JsonGenerator out) throws IOException, Malformed;
    }

    private void respond(HttpExchange exchange, int status, BodyWriter body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = jsonFactory.createGenerator(bytes)) {
            out.writeStartObject();
            body.write(out);
            out.writeEndObject();
        } catch (Malformed e) {
            throw new IOException(e);
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        if (draining) {
            exchange.getResponseHeaders().set("Connection", "close");
        }
        if (status == 429) {
            exchange.getResponseHeaders().set("Retry-After", "1");
        }
        exchange.sendResponseHeaders(status, bytes.size());
        exchange.getResponseBody().write(bytes.toByteArray());
        exchange.close();
    }

    private static void writeError(JsonGenerator out, String key, String code, String details) throws IOException {
        if (key != null) {
            out.writeStringField("key", key);
        }
        out.writeStringField("errorCode", code);
        out.writeStringField("errorDetails", details);
    }

    /** The evaluation context of a request; null if the body is malformed. */
    private JsonObject readContext(HttpExchange exchange) throws IOException {
        try (JsonParser parser = jsonFactory.createParser(exchange.getRequestBody().readAllBytes())) {
            return JsonObject.parse(parser).objectOrEmpty("context");
        } catch (Malformed | com.fasterxml.jackson.core.JacksonException e) {
            return null;
        }
    }

    private boolean delayAndMaybeFail(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(delayMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (draining || failStatus > 0 && ThreadLocalRandom.current().nextDouble() < failShare) {
            int status = draining ? 503 : failStatus;
            respond(exchange, status, out -> writeError(out, null, "GENERAL", draining ? "draining" : "told to fail"));
            return true;
        }
        return false;
    }

    private void evaluate(HttpExchange exchange) throws IOException {
        JsonObject context = readContext(exchange);
        if (delayAndMaybeFail(exchange)) {
            return;
        }
        FlagSet current = flagSet;
        String path = exchange.getRequestURI().getPath();
        if (context == null) {
            respond(exchange, 400, out -> writeError(out, null, "PARSE_ERROR", "not an object"));
        } else if (path.equals(EVALUATE_PATH)) {
            served.incrementAndGet();
            respond(exchange, 200, out -> {
                out.writeArrayFieldStart("flags");
                for (String name : current.names()) {
                    out.writeStartObject();
                    current.write(out, name, current.evaluate(name, context));
                    out.writeEndObject();
                }
                out.writeEndArray();
                out.writeObjectFieldStart("metadata");
                out.writeStringField("version", String.valueOf(current.version));
                out.writeEndObject();
            });
        } else {
            evaluateOne(exchange, current, path.substring(EVALUATE_PATH.length() + 1), context);
        }
    }

    private void evaluateOne(HttpExchange exchange, FlagSet current, String name, JsonObject context) throws IOException {
        try {
            FlagSet.Result result = current.evaluate(name, context);
            if (result == null) {
                respond(exchange, 404, out -> writeError(out, name, "FLAG_NOT_FOUND", "no flag " + name));
            } else {
                served.incrementAndGet();
                respond(exchange, 200, out -> current.write(out, name, result));
            }
        } catch (Malformed e) {
            respond(exchange, 400, out -> writeError(out, name, "INVALID_CONTEXT", e.getMessage()));
        }
    }

    private void track(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        if (!delayAndMaybeFail(exchange)) {
            tracked.incrementAndGet();
            respond(exchange, 200, out -> { });
        }
    }

    /** Handles POST to /standin/drain, /undrain, /flags (a flag set), /fail (status, share) and /delay (ms). */
    private void control(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        try (JsonParser parser = jsonFactory.createParser(body.length == 0 ? "{}".getBytes(StandardCharsets.UTF_8) : body)) {
            JsonObject parameters = JsonObject.parse(parser);
            switch (exchange.getRequestURI().getPath()) {
                case "/standin/drain" -> setDraining(true);
                case "/standin/undrain" -> setDraining(false);
                case "/standin/flags" -> setFlags(parameters);
                case "/standin/fail" -> setFailure(parameters.intValue("status", 0), parameters.doubleValue("share", 1));
                case "/standin/delay" -> setDelay(parameters.intValue("ms", 0));
                default -> throw new Malformed("nothing is here");
            }
            respond(exchange, 200, out -> out.writeStringField("version", String.valueOf(flagSet.version)));
        } catch (Malformed e) {
            respond(exchange, 400, out -> out.writeStringField("errorDetails", e.getMessage()));
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
