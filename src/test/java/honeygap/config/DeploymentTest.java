package honeygap.config;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.fleet.Method;
import honeygap.net.Loop;
import honeygap.net.PostgresProtocol;
import honeygap.settings.ColdStartSettings;
import honeygap.settings.DeskSettings;
import honeygap.settings.ExposureSettings;
import honeygap.settings.ListSettings;
import honeygap.settings.RetryLimits;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parses the settings of two deployments and compares each value; rejects malformed settings. */
class DeploymentTest {

    private static final String FIRST = """
            {"TickNs": 4000000, "FleetSize": 7, "RegistryMode": "push",
             "Classes": [
              {"Name": "balance", "AimNs": 350000000, "GiveUpNs": 1000000000, "Effect": "read_like", "Worth": 2.0,
               "LateWorth": 0.1},
              {"Name": "transfer", "AimNs": 450000000, "GiveUpNs": 1200000000, "Effect": "idempotency_key",
               "KeyScope": "all", "WindowNs": 700000000, "Worth": 6.0},
              {"Name": "notify", "AimNs": 250000000, "GiveUpNs": 800000000, "Effect": "non_idempotent"}],
             "Accounts": [{"Name": "first"}, {"Name": "second"}],
             "Ceilings": {"MaxAttempts": 4, "ConnectTimeoutNs": 200000000, "IdleCloseNs": 12000000000,
              "RetryAfter": true, "MaxRetryAfterNs": 400000000},
             "Rules": {"ColdFrom": 0.4, "WarmAfterNs": 2000000000, "FallMultiple": 3.0, "TipAfterNs": 1200000000},
             "FamilyInfo": {"GateMode": "by_count", "VoteStandsNs": 5000000000, "SoakNs": 1500000000,
              "CallTimeoutNs": 1500000000, "NoesNeeded": 2, "VotesPerS": 60, "TallyEveryNs": 1500000000,
              "SampledShare": 0.25, "Caps": [0.1, 0.3, 1.0], "Waves": [0.05, 0.2, 1.0], "WindowNs": 2500000000,
              "Uncounted": 1.0, "CapScope": "each_class", "Shielded": 1, "KeysStay": false}}
            """;
    private static final String SECOND = """
            {"TickNs": 5000000, "FleetSize": 3, "RegistryMode": "ask",
             "Classes": [
              {"Name": "find", "AimNs": 900000000, "GiveUpNs": 3500000000, "Effect": "read_like"},
              {"Name": "reserve", "AimNs": 1300000000, "GiveUpNs": 4500000000, "Effect": "idempotency_key",
               "KeyScope": "zone", "WindowNs": 8000000000, "Worth": 5.0}],
             "Accounts": [{"Name": "only"}],
             "Ceilings": {"MaxAttempts": 2}, "Rules": {"MustAskInNs": 9000000000},
             "FamilyInfo": {"GateMode": "first_voice", "SampledShare": 0.5, "KeysStay": true}}
            """;

    private static JsonObject parse(String json) throws IOException, Malformed {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            return JsonObject.parse(parser);
        }
    }

    private static List<Object> propertiesOf(Method method) {
        return List.of(method.effect, method.scope, method.tokenWindow, method.softDeadline, method.deadline,
                method.utility, method.lateUtility);
    }

    private static void assertFirstSettings(JsonObject info) throws Malformed {
        List<Method> methods = DeploymentSettings.methods(info);
        assertEquals(3, methods.size());
        assertEquals(List.of(Method.IDEMPOTENT, Method.SCOPE_ALL, 0L, 3500L, 10_000L, 2.0, 0.1), propertiesOf(methods.get(0)));
        assertEquals(List.of(Method.TOKENED, Method.SCOPE_ALL, 7000L, 4500L, 12_000L, 6.0, 0.0), propertiesOf(methods.get(1)));
        assertEquals(List.of(Method.NON_IDEMPOTENT, Method.SCOPE_ALL, 0L, 2500L, 8000L, 1.0, 0.0), propertiesOf(methods.get(2)));
        assertEquals(new RetryLimits(4, true, 4000), DeploymentSettings.tries(info));
        assertEquals(new ColdStartSettings(0.4, 20_000, 3, 12_000), DeploymentSettings.cold(info));
        assertEquals(new DeskSettings(DeskSettings.BY_COUNT, 50_000, 15_000, 15_000, 2, 60, 0.25, 15_000), DeploymentSettings.desk(info));
        ExposureSettings exposure = DeploymentSettings.exposure(info);
        assertArrayEquals(new double[] {0.1, 0.3, 1}, exposure.caps());
        assertArrayEquals(new double[] {0.05, 0.2, 1}, exposure.stageShares());
        assertEquals(List.of(25_000L, 1.0, true, 1, false), List.of(exposure.window(), exposure.freeAllowance(),
                exposure.perMethod(), exposure.idempotentOnlyStages(), exposure.stickyKeys()));
        assertEquals(new ListSettings(false, true, 0, 0), DeploymentSettings.simulatorListing(info));
        assertEquals(new ListSettings(true, true, 60_000, 0), DeploymentSettings.socketListing(info));
    }

    private static void assertSecondSettings(JsonObject info) throws Malformed {
        List<Method> methods = DeploymentSettings.methods(info);
        assertEquals(2, methods.size());
        assertEquals(List.of(Method.IDEMPOTENT, Method.SCOPE_ALL, 0L, 9000L, 35_000L, 1.0, 0.0), propertiesOf(methods.get(0)));
        assertEquals(List.of(Method.TOKENED, Method.SCOPE_ZONE, 80_000L, 13_000L, 45_000L, 5.0, 0.0),
                propertiesOf(methods.get(1)));
        assertEquals(new RetryLimits(2, false, 0), DeploymentSettings.tries(info));
        assertEquals(new ColdStartSettings(1, 0, 1, 0), DeploymentSettings.cold(info));
        assertEquals(new DeskSettings(DeskSettings.FIRST_VOTE, 0, 20_000, 0, 1, 1, 0, 0), DeploymentSettings.desk(info));
        ExposureSettings exposure = DeploymentSettings.exposure(info);
        assertEquals(List.of(0, 0, 0L, 0.0, false, 0, true), List.of(exposure.caps().length, exposure.stageShares().length,
                exposure.window(), exposure.freeAllowance(), exposure.perMethod(), exposure.idempotentOnlyStages(),
                exposure.stickyKeys()));
        assertEquals(new ListSettings(true, false, 90_000, 0), DeploymentSettings.simulatorListing(info));
        assertEquals(new ListSettings(true, false, 90_000, 0), DeploymentSettings.socketListing(info));
    }

    /** With a drain rule the list has a lease: the maximum poll interval, at most the protocol's six seconds. */
    @ParameterizedTest
    @CsvSource({"'', 0", "'\"MustAskInNs\": 2000000000', 0", "'\"StopSendingWithinNs\": 500000000', 60000",
        "'\"StopSendingWithinNs\": 500000000, \"MustAskInNs\": 10000000000', 60000",
        "'\"StopSendingWithinNs\": 500000000, \"MustAskInNs\": 2000000000', 20000"})
    void leaseOfTheList(String rules, long lease) throws Exception {
        JsonObject info = parse("{\"RegistryMode\": \"ask\", \"Rules\": {" + rules + "}}");
        assertEquals(lease, DeploymentSettings.socketListing(info).lease());
        assertEquals(0, DeploymentSettings.simulatorListing(info).lease());
    }

    /** Parses both deployments alternately in one process: no state may carry over from one to the other. */
    @Test
    void settingsDoNotLeakBetweenDeployments() throws Exception {
        assertFirstSettings(parse(FIRST));
        assertSecondSettings(parse(SECOND));
        assertFirstSettings(parse(FIRST));
    }

    /** Missing or malformed settings are rejected with the path of the field. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"AimNs\": 450000000, | '' | settings.Classes[1].AimNs is missing",
        "\"AimNs\": 450000000 | \"AimNs\": 0 | settings.Classes[1].AimNs is not a positive duration: 0",
        "\"GiveUpNs\": 800000000 | \"GiveUpNs\": -5 | settings.Classes[2].GiveUpNs is not a positive duration: -5",
        "\"Effect\": \"non_idempotent\" | \"Effect\": \"odd\" | settings.Classes[2].Effect is unknown: odd",
        "\"KeyScope\": \"all\" | \"KeyScope\": 3 | settings.Classes[1].KeyScope is not a string",
        "\"KeyScope\": \"all\" | \"KeyScope\": \"town\" | settings.Classes[1].KeyScope is unknown: town",
        "\"Name\": \"second\" | \"Nam\": \"second\" | settings.Accounts[1].Name is missing",
        "\"MaxAttempts\": 4 | \"MaxAttempts\": \"4\" | settings.Ceilings.MaxAttempts is not a whole number",
        "\"MaxAttempts\": 4 | \"MaxAttempts\": -4 | settings.Ceilings.MaxAttempts is out of range: -4",
        "\"push\" | \"shove\" | settings.RegistryMode is unknown: shove",
        "\"TickNs\": 4000000, | '' | settings.TickNs is missing",
        "\"TickNs\": 4000000 | \"TickNs\": 0 | settings.TickNs is not a positive duration: 0",
        "\"by_count\" | \"by_weight\" | settings.FamilyInfo.GateMode is unknown: by_weight",
        "[0.1, 0.3, 1.0] | [0.1, \"x\"] | settings.FamilyInfo.Caps holds something other than numbers",
        "\"ColdFrom\": 0.4 | \"ColdFrom\": [] | settings.Rules.ColdFrom is not a number",
        "\"listen\": \"127.0.0.1:0\" | \"listen\": \"here\" | listen is not an address: here",
        "\"discovery\": \"127.0.0.1:1\", | '' | discovery is missing",
        "\"rollouts\": {\"address\": \"127.0.0.1:1\"} | \"rollouts\": {} | rollouts.address is missing",
        "\"sockets\": 256 | \"sockets\": true | limits.sockets is not a whole number",
        "\"endpoints\": [] | \"endpoints\": [{\"name\": \"a\"}] | known.endpoints[0].status is missing"})
    void rejectsMalformedSettings(String original, String replacement, String expected) throws Exception {
        String valid = """
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256},
                 "rollouts": {"address": "127.0.0.1:1"}, "known": {"index": 1, "snapshot": true, "endpoints": []},
                 "settings": %s}
                """.formatted(FIRST);
        // The settings are accepted without the modification.
        new PostgresProtocol(new Loop(), parse(valid));
        JsonObject malformed = parse(valid.replace(original, replacement));
        assertEquals("field " + expected, assertThrows(Malformed.class, () -> new PostgresProtocol(new Loop(), malformed)).getMessage());
    }

    /** A reload without a valid address of discovery or desk is rejected with the path of the field. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"{} | discovery is missing",
        "{\"discovery\": \"127.0.0.1:1\", \"rollouts\": {\"address\": 7}} | rollouts.address is not a string"})
    void rereadRejectsMalformedSettings(String update, String expected) throws Exception {
        String valid = """
                {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "rollouts": {"address": "127.0.0.1:1"},
                 "settings": %s}
                """.formatted(SECOND);
        PostgresProtocol queries = new PostgresProtocol(new Loop(), parse(valid));
        JsonObject malformed = parse(update);
        assertEquals("field " + expected, assertThrows(Malformed.class, () -> queries.reload(malformed)).getMessage());
    }
}
