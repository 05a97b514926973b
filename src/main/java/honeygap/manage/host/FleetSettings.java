package honeygap.manage.host;

import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.config.SettingsReader;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Settings of the managed agents, as read from the operator's file; docs/manage.md describes each field. Times are in
 * units of 0.1 ms.
 */
public final class FleetSettings {

    /** An agent: the address of its admin endpoint, and labels for selectors. */
    public record Instance(String name, InetSocketAddress adminEndpoint, Map<String, String> labels) { }

    public final InetSocketAddress listen;
    public final Path storeFile;
    public final String tokenFile;
    public final long pollInterval;
    public final long answerTimeout;
    public final List<Instance> instances = new ArrayList<>();

    private FleetSettings(SettingsReader input) {
        listen = input.address("listen");
        storeFile = Path.of(input.text("store", null) + "");
        tokenFile = input.text("tokenFile", "");
        pollInterval = input.duration("every", "1s");
        answerTimeout = input.duration("answerWithin", "1.5s");
        for (SettingsReader entry : input.sections("instances")) {
            Map<String, String> labels = new LinkedHashMap<>();
            String name = entry.text("name", null);
            InetSocketAddress adminEndpoint = entry.address("door");
            entry.section("labels").forEachField(labels::put);
            if (instances.stream().anyMatch(other -> other.name.equals(name))) {
                entry.reportExpected("name", "a unique name");
            }
            labels.put("name", name);
            instances.add(new Instance(name, adminEndpoint, labels));
            entry.rejectUnknownFields();
        }
        input.rejectUnknownFields();
    }

    /** Reads all settings; reports all errors together, one per line. */
    public static FleetSettings of(JsonObject fields) throws Malformed {
        SettingsReader input = new SettingsReader(fields);
        FleetSettings settings = new FleetSettings(input);
        if (!input.errors().isEmpty()) {
            throw new Malformed(String.join("\n", input.errors()));
        }
        return settings;
    }
}
