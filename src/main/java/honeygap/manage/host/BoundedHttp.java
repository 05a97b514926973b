package honeygap.manage.host;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP of the manager with bounds on what its callers, and the agents that it calls, can make it hold. */
final class BoundedHttp {

    private static final int BACKLOG = 64;
    /** Threads that answer callers; each holds one request, whose body the manager limits. */
    private static final int MAX_REQUEST_THREADS = 32;
    /** A caller that stops in the middle of a request occupies a thread for no longer than this. */
    private static final String MAX_REQUEST_SECONDS = "3";
    /** The longest answer of an agent: its state or its ledger. */
    private static final long MAX_ANSWER_BYTES = 4 << 20;

    private BoundedHttp() {
    }

    /** Creates a server at this address that is not started yet. */
    static HttpServer createServer(InetSocketAddress address) throws IOException {
        // Read by the JDK's server when its first instance is created.
        System.setProperty("sun.net.httpserver.maxReqTime", MAX_REQUEST_SECONDS);
        HttpServer server = HttpServer.create(address, BACKLOG);
        server.setExecutor(Executors.newFixedThreadPool(MAX_REQUEST_THREADS, task -> {
            Thread thread = new Thread(task, "asked");
            thread.setDaemon(true);
            return thread;
        }));
        return server;
    }

    /** Closes a server made here, with its threads. */
    static void close(HttpServer server) {
        server.stop(0);
        ((ExecutorService) server.getExecutor()).shutdownNow();
    }

    /** Keeps an answer in memory; one that is too long, or does not tell its length, is dropped and reads as empty. */
    static HttpResponse.BodyHandler<byte[]> boundedAnswer() {
        return info -> info.headers().firstValueAsLong("content-length").orElse(Long.MAX_VALUE) > MAX_ANSWER_BYTES
                ? HttpResponse.BodySubscribers.replacing(new byte[0]) : HttpResponse.BodySubscribers.ofByteArray();
    }
}
