package honeygap.replication.host;

import honeygap.config.Malformed;
import honeygap.replication.exchange.MessageCodec;
import honeygap.replication.exchange.Message;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ProxySelector;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * HTTP client for the admin endpoints of other processes, with bounds on call time and response size. It blocks, so
 * only worker threads may call it.
 */
final class PeerClient {

    private final HttpClient client;
    private final String token;
    private final int maxResponseBytes;

    /**
     * The token authorizes calls to other admin endpoints and may be empty. Longer responses than maxResponseBytes
     * are an error; without an HTTP proxy, proxy is null. Timeouts are in units of 0.1 ms.
     */
    PeerClient(String token, long connectTimeout, int maxResponseBytes, InetSocketAddress proxy) {
        this.token = token;
        this.maxResponseBytes = maxResponseBytes;
        HttpClient.Builder builder = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(connectTimeout / 10));
        client = (proxy == null ? builder : builder.proxy(ProxySelector.of(proxy))).build();
    }

    /** Sends a message and returns the decoded response. The timeout is in units of 0.1 ms. */
    Message call(String address, String path, Message message, long timeout)
            throws IOException, InterruptedException, Malformed {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(Math.max(1, timeout / 10)))
                .POST(HttpRequest.BodyPublishers.ofByteArray(MessageCodec.write(message)));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        HttpResponse<InputStream> response = client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream input = response.body()) {
            byte[] body = input.readNBytes(maxResponseBytes + 1);
            if (body.length > maxResponseBytes) {
                throw new Malformed(address + ": response is longer than " + maxResponseBytes + " bytes");
            }
            if (response.statusCode() != 200) {
                throw new Malformed(address + ": unexpected status " + response.statusCode());
            }
            return MessageCodec.read(body);
        }
    }
}
