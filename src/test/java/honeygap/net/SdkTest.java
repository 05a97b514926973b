package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import dev.openfeature.contrib.providers.ofrep.OfrepProvider;
import dev.openfeature.contrib.providers.ofrep.OfrepProviderOptions;
import dev.openfeature.sdk.Client;
import dev.openfeature.sdk.ErrorCode;
import dev.openfeature.sdk.FlagEvaluationDetails;
import dev.openfeature.sdk.MutableContext;
import dev.openfeature.sdk.OpenFeatureAPI;
import dev.openfeature.sdk.Value;
import honeygap.read.Fields;
import honeygap.read.FlagSheet;
import honeygap.standin.FlagServer;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A real client, the published SDK with its provider of the remote protocol, and a usable stand-in server. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SdkTest {

    private FlagServer server;
    private Agent agent;
    private Client client;
    private String base;

    @BeforeEach
    void start() throws Exception {
        try (InputStream in = getClass().getResourceAsStream("/flags.json");
                JsonParser parser = new JsonFactory().createParser(in)) {
            server = new FlagServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Fields.document(parser));
        }
        Loop loop = new Loop();
        Flags flags = new Flags(loop, FlagSheet.of(FlagsTest.fields("{'listen':'127.0.0.1:0','servers':["
                + FlagsTest.server("s", "127.0.0.1:" + server.address().getPort(), 1, "up") + "]}")), 7);
        agent = new Agent(loop, List.of(flags));
        agent.start();
        base = "http://127.0.0.1:" + agent.address(0).getPort();
        OpenFeatureAPI api = OpenFeatureAPI.getInstance();
        api.setProviderAndWait("agent", OfrepProvider.constructProvider(
                OfrepProviderOptions.builder().baseUrl(base).build()));
        client = api.getClient("agent");
    }

    @AfterEach
    void end() {
        OpenFeatureAPI.getInstance().shutdown();
        agent.end();
        server.close();
    }

    @Test
    void everyType() {
        MutableContext himal = new MutableContext("u1").add("operator", "himal");
        FlagEvaluationDetails<Boolean> on = client.getBooleanDetails("same-day-rebooking", false, himal);
        assertEquals(true, on.getValue());
        assertEquals("TARGETING_MATCH on null", on.getReason() + " " + on.getVariant() + " " + on.getErrorCode());
        assertEquals("1", on.getFlagMetadata().getString("version"));
        MutableContext plain = new MutableContext("u1");
        assertEquals("Namaste", client.getStringValue("banner", "none", plain));
        int wait = client.getIntegerValue("longest-wait-minutes", 0, plain);
        assertEquals(wait, client.getIntegerValue("longest-wait-minutes", 0, plain), "a split is the same each time");
        assertEquals(0.0, client.getDoubleValue("surcharge", 9.0, plain));
        Value form = client.getObjectValue("form", new Value(), plain);
        assertEquals(1, form.asStructure().getValue("steps").asInteger());
    }

    @Test
    void errorsAndDefaults() {
        MutableContext plain = new MutableContext("u1");
        FlagEvaluationDetails<String> none = client.getStringDetails("nowhere", "mine", plain);
        assertEquals("mine FLAG_NOT_FOUND", none.getValue() + " " + none.getErrorCode());
        FlagEvaluationDetails<Boolean> other = client.getBooleanDetails("banner", true, plain);
        assertEquals("true TYPE_MISMATCH", other.getValue() + " " + other.getErrorCode());
        server.fail(500, 1);
        FlagEvaluationDetails<String> failed = client.getStringDetails("banner", "mine", plain);
        assertEquals("mine", failed.getValue());
        assertEquals(ErrorCode.GENERAL, failed.getErrorCode());
        server.fail(0, 0);
    }

    @Test
    void bulkPolls() throws Exception {
        HttpClient http = HttpClient.newHttpClient();
        HttpRequest.Builder poll = HttpRequest.newBuilder(URI.create(base + "/ofrep/v1/evaluate/flags"))
                .version(HttpClient.Version.HTTP_1_1).header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("{\"context\":{\"targetingKey\":\"u1\"}}"));
        HttpResponse<String> first = http.send(poll.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, first.statusCode());
        String tag = first.headers().firstValue("ETag").orElseThrow();
        poll.header("If-None-Match", tag);
        HttpResponse<String> same = http.send(poll.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals("304 ", same.statusCode() + " " + same.body());
        server.take(FlagsTest.fields("{'version':2,'flags':{'banner':{'variants':{'a':'new'},'default':'a'}}}"));
        HttpResponse<String> next = http.send(poll.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, next.statusCode());
        // A set rolled back is older than what this client holds: no step back, for it or its key.
        server.take(FlagsTest.fields("{'version':1,'flags':{'banner':{'variants':{'a':'old'},'default':'a'}}}"));
        FlagEvaluationDetails<String> after = client.getStringDetails("banner", "mine", new MutableContext("u1"));
        assertEquals("mine", after.getValue());
        assertNull(after.getVariant());
    }
}
