package honeygap.share.host;

import honeygap.read.Malformed;
import honeygap.share.exchange.Form;
import honeygap.share.exchange.Message;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ProxySelector;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls to the doors of other processes, each bounded in time and in what it reads. From workers only. */
final class Calls {

    private final HttpClient client;
    private final String token;
    private final int longest;

    /** The token opens the doors; it may be empty. Answers longer than so many bytes are a fault; no proxy is null. */
    Calls(String token, long connectWithin, int longest, InetSocketAddress proxy) {
        this.token = token;
        this.longest = longest;
        HttpClient.Builder made = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(connectWithin / 10));
        client = (proxy == null ? made : made.proxy(ProxySelector.of(proxy))).build();
    }

    /** Sends a message and reads the one that answers it. Times are tenths of a millisecond. */
    Message call(String address, String path, Message message, long within)
            throws IOException, InterruptedException, Malformed {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(Math.max(1, within / 10)))
                .POST(HttpRequest.BodyPublishers.ofByteArray(Form.write(message)));
        if (!token.isEmpty()) {
            request.header("Authorization", "Bearer " + token);
        }
        HttpResponse<InputStream> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream in = answer.body()) {
            byte[] body = in.readNBytes(longest + 1);
            if (body.length > longest) {
                throw new Malformed(address + " answers more than " + longest + " bytes");
            }
            if (answer.statusCode() != 200) {
                throw new Malformed(address + " answers " + answer.statusCode());
            }
            return Form.read(body);
        }
    }
}
