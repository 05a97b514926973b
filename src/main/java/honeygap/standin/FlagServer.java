package honeygap.standin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A flag server to try an agent with: the remote evaluation protocol over HTTP/1.1, and a few paths by which it
 * is told to drain, to take a new set of flags or to do wrong. It is for loopback and promises no speed.
 */
public final class FlagServer implements AutoCloseable {

    private static final String ALL = "/ofrep/v1/evaluate/flags";

    static {
        // Head and body go out in two writes: without it the second one waits for a late acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private final HttpServer server;
    private final ExecutorService threads;
    private final JsonFactory json = new JsonFactory();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong tracked = new AtomicLong();
    private volatile FlagSet set;
    private volatile boolean draining;
    private volatile int failStatus;
    private volatile double failShare;
    private volatile long delayMs;

    /** Port 0 takes any that is free. */
    public FlagServer(InetSocketAddress address, Fields flags) throws IOException, Malformed {
        set = new FlagSet(flags);
        server = HttpServer.create(address, 1024);
        threads = Executors.newFixedThreadPool(8, task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext(ALL, this::evaluate);
        server.createContext("/ofrep/v1/track", this::track);
        server.createContext("/standin/", this::told);
        server.start();
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Evaluations answered well so far. */
    public long served() {
        return served.get();
    }

    public long tracked() {
        return tracked.get();
    }

    public void take(Fields flags) throws Malformed {
        set = new FlagSet(flags);
    }

    public void drain(boolean isDraining) {
        draining = isDraining;
    }

    /** A share of what is asked is answered with this status; 0 ends it. */
    public void fail(int status, double share) {
        failStatus = status;
        failShare = share;
    }

    public void delay(long ms) {
        delayMs = ms;
    }

    private interface Body {

        void write(JsonGenerator out) throws IOException, Malformed;
    }

    private void answer(HttpExchange exchange, int status, Body body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = json.createGenerator(bytes)) {
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

    private static void error(JsonGenerator out, String key, String code, String details) throws IOException {
        if (key != null) {
            out.writeStringField("key", key);
        }
        out.writeStringField("errorCode", code);
        out.writeStringField("errorDetails", details);
    }

    /** The context of a request; null where the body is none of the protocol's. */
    private Fields context(HttpExchange exchange) throws IOException {
        try (JsonParser in = json.createParser(exchange.getRequestBody().readAllBytes())) {
            return Fields.document(in).part("context");
        } catch (Malformed | com.fasterxml.jackson.core.JacksonException e) {
            return null;
        }
    }

    private boolean fails(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(delayMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (draining || failStatus > 0 && ThreadLocalRandom.current().nextDouble() < failShare) {
            int status = draining ? 503 : failStatus;
            answer(exchange, status, out -> error(out, null, "GENERAL", draining ? "draining" : "told to fail"));
            return true;
        }
        return false;
    }

    private void evaluate(HttpExchange exchange) throws IOException {
        Fields context = context(exchange);
        if (fails(exchange)) {
            return;
        }
        FlagSet now = set;
        String path = exchange.getRequestURI().getPath();
        if (context == null) {
            answer(exchange, 400, out -> error(out, null, "PARSE_ERROR", "not an object"));
        } else if (path.equals(ALL)) {
            served.incrementAndGet();
            answer(exchange, 200, out -> {
                out.writeArrayFieldStart("flags");
                for (String name : now.names()) {
                    out.writeStartObject();
                    now.write(out, name, now.evaluate(name, context));
                    out.writeEndObject();
                }
                out.writeEndArray();
                out.writeObjectFieldStart("metadata");
                out.writeStringField("version", String.valueOf(now.version));
                out.writeEndObject();
            });
        } else {
            one(exchange, now, path.substring(ALL.length() + 1), context);
        }
    }

    private void one(HttpExchange exchange, FlagSet now, String name, Fields context) throws IOException {
        try {
            FlagSet.Result result = now.evaluate(name, context);
            if (result == null) {
                answer(exchange, 404, out -> error(out, name, "FLAG_NOT_FOUND", "no flag " + name));
            } else {
                served.incrementAndGet();
                answer(exchange, 200, out -> now.write(out, name, result));
            }
        } catch (Malformed e) {
            answer(exchange, 400, out -> error(out, name, "INVALID_CONTEXT", e.getMessage()));
        }
    }

    private void track(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        if (!fails(exchange)) {
            tracked.incrementAndGet();
            answer(exchange, 200, out -> { });
        }
    }

    /** POST /standin/drain, /undrain, /flags (a set), /fail (status, share) and /delay (ms). */
    private void told(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        try (JsonParser in = json.createParser(body.length == 0 ? "{}".getBytes(StandardCharsets.UTF_8) : body)) {
            Fields told = Fields.document(in);
            switch (exchange.getRequestURI().getPath()) {
                case "/standin/drain" -> drain(true);
                case "/standin/undrain" -> drain(false);
                case "/standin/flags" -> take(told);
                case "/standin/fail" -> fail(told.index("status", 0), told.number("share", 1));
                case "/standin/delay" -> delay(told.index("ms", 0));
                default -> throw new Malformed("nothing is here");
            }
            answer(exchange, 200, out -> out.writeStringField("version", String.valueOf(set.version)));
        } catch (Malformed e) {
            answer(exchange, 400, out -> out.writeStringField("errorDetails", e.getMessage()));
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
