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
import honeygap.config.JsonObject;
import honeygap.config.FlagSettings;
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

/** Tests the agent with the published OpenFeature SDK, its OFREP provider and a stand-in flag server. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SdkTest {

    private FlagServer server;
    private Agent agent;
    private Client client;
    private String base;

    @BeforeEach
    void setUp() throws Exception {
        try (InputStream in = getClass().getResourceAsStream("/flags.json");
                JsonParser parser = new JsonFactory().createParser(in)) {
            server = new FlagServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    JsonObject.parse(parser));
        }
        Loop loop = new Loop();
        FlagProtocol flags = new FlagProtocol(loop, FlagSettings.parse(FlagsTest.fields("{'listen':'127.0.0.1:0','servers':["
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
    void tearDown() {
        OpenFeatureAPI.getInstance().shutdown();
        agent.close();
        server.close();
    }

    @Test
    void evaluatesEveryType() {
        MutableContext contextWithOperator = new MutableContext("u1").add("operator", "himal");
        FlagEvaluationDetails<Boolean> rebooking =
                client.getBooleanDetails("same-day-rebooking", false, contextWithOperator);
        assertEquals(true, rebooking.getValue());
        assertEquals("TARGETING_MATCH on null",
                rebooking.getReason() + " " + rebooking.getVariant() + " " + rebooking.getErrorCode());
        assertEquals("1", rebooking.getFlagMetadata().getString("version"));
        MutableContext context = new MutableContext("u1");
        assertEquals("Namaste", client.getStringValue("banner", "none", context));
        int maxWait = client.getIntegerValue("longest-wait-minutes", 0, context);
        assertEquals(maxWait, client.getIntegerValue("longest-wait-minutes", 0, context),
                "a split gives the same variant each time");
        assertEquals(0.0, client.getDoubleValue("surcharge", 9.0, context));
        Value form = client.getObjectValue("form", new Value(), context);
        assertEquals(1, form.asStructure().getValue("steps").asInteger());
    }

    @Test
    void errorsGiveDefaultValues() {
        MutableContext context = new MutableContext("u1");
        FlagEvaluationDetails<String> missing = client.getStringDetails("nowhere", "mine", context);
        assertEquals("mine FLAG_NOT_FOUND", missing.getValue() + " " + missing.getErrorCode());
        FlagEvaluationDetails<Boolean> mismatch = client.getBooleanDetails("banner", true, context);
        assertEquals("true TYPE_MISMATCH", mismatch.getValue() + " " + mismatch.getErrorCode());
        server.setFailure(500, 1);
        FlagEvaluationDetails<String> failed = client.getStringDetails("banner", "mine", context);
        assertEquals("mine", failed.getValue());
        assertEquals(ErrorCode.GENERAL, failed.getErrorCode());
        server.setFailure(0, 0);
    }

    @Test
    void bulkPollsUseEntityTags() throws Exception {
        HttpClient http = HttpClient.newHttpClient();
        HttpRequest.Builder poll = HttpRequest.newBuilder(URI.create(base + "/ofrep/v1/evaluate/flags"))
                .version(HttpClient.Version.HTTP_1_1).header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("{\"context\":{\"targetingKey\":\"u1\"}}"));
        HttpResponse<String> first = http.send(poll.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, first.statusCode());
        String entityTag = first.headers().firstValue("ETag").orElseThrow();
        poll.header("If-None-Match", entityTag);
        HttpResponse<String> unchanged = http.send(poll.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals("304 ", unchanged.statusCode() + " " + unchanged.body());
        server.setFlags(FlagsTest.fields("{'version':2,'flags':{'banner':{'variants':{'a':'new'},'default':'a'}}}"));
        HttpResponse<String> changed = http.send(poll.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(200, changed.statusCode());
        // After a rollback the flag set is older than what this client has received; neither the client nor its
        // targeting key may go back to it.
        server.setFlags(FlagsTest.fields("{'version':1,'flags':{'banner':{'variants':{'a':'old'},'default':'a'}}}"));
        FlagEvaluationDetails<String> afterRollback =
                client.getStringDetails("banner", "mine", new MutableContext("u1"));
        assertEquals("mine", afterRollback.getValue());
        assertNull(afterRollback.getVariant());
    }
}
