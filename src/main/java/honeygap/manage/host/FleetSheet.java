package honeygap.manage.host;

import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.read.Sheet;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What an operator's own file says of the agents that are managed together; docs/manage.md has each field. */
public final class FleetSheet {

    /** An agent: where its door is, and labels by which it can be chosen. */
    public record Instance(String name, InetSocketAddress door, Map<String, String> labels) { }

    public final InetSocketAddress listen;
    public final Path store;
    public final String tokenFile;
    public final long every;
    public final long answerWithin;
    public final List<Instance> instances = new ArrayList<>();

    private FleetSheet(Sheet sheet) {
        listen = sheet.address("listen");
        store = Path.of(sheet.text("store", null) + "");
        tokenFile = sheet.text("tokenFile", "");
        every = sheet.duration("every", "1s");
        answerWithin = sheet.duration("answerWithin", "1.5s");
        for (Sheet one : sheet.parts("instances")) {
            Map<String, String> labels = new LinkedHashMap<>();
            String name = one.text("name", null);
            InetSocketAddress door = one.address("door");
            one.part("labels").each(labels::put);
            if (instances.stream().anyMatch(other -> other.name.equals(name))) {
                one.fault("name", "a name of its own");
            }
            labels.put("name", name);
            instances.add(new Instance(name, door, labels));
            one.end();
        }
        sheet.end();
    }

    /** Reads the whole of it; all that is wrong is told at once, a line each. */
    public static FleetSheet of(Fields fields) throws Malformed {
        Sheet sheet = new Sheet(fields);
        FleetSheet read = new FleetSheet(sheet);
        if (!sheet.noted().isEmpty()) {
            throw new Malformed(String.join("\n", sheet.noted()));
        }
        return read;
    }
}
