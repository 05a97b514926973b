package honeygap.manage.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.manage.Operation;
import honeygap.manage.Step;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/** Operations on disk, keyed by number, in an embedded store. A saved operation survives any crash. */
public final class OperationStore implements AutoCloseable {

    private final Path file;
    private MVStore store;
    private MVMap<Long, String> operations;

    public OperationStore(Path file) {
        this.file = file;
        open();
    }

    private void open() {
        store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open();
        operations = store.openMap("operations");
    }

    /**
     * Saves an operation and returns when it is on disk. When a write fails the store closes itself, and the failed
     * change would otherwise be written with the next one. Therefore the next call reopens the store from the contents
     * of the disk.
     */
    public void save(Operation.Snapshot snapshot) throws IOException {
        try {
            reopen();
            operations.put(snapshot.number(), toJson(snapshot));
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            store.closeImmediately();
            throw new IOException(e.getMessage(), e);
        }
    }

    private void reopen() {
        if (store.isClosed()) {
            open();
        }
    }

    /** Returns all stored operations, oldest first. */
    public List<Operation.Snapshot> loadAll() throws IOException {
        reopen();
        List<Operation.Snapshot> snapshots = new ArrayList<>();
        for (String json : operations.values()) {
            snapshots.add(parse(json));
        }
        return snapshots;
    }

    /** Removes ended operations beyond the newest that are retained, and shrinks the file. */
    public void compact(int retained) throws IOException {
        reopen();
        for (Long number : List.copyOf(operations.keySet())) {
            if (operations.size() > retained && !Operation.of(parse(operations.get(number))).isOpen()) {
                operations.remove(number);
            }
        }
        store.commit();
        store.compactFile(1000);
    }

    static String toJson(Operation.Snapshot snapshot) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("id", snapshot.id());
            out.writeNumberField("number", snapshot.number());
            out.writeStringField("action", snapshot.action());
            out.writeStringField("argument", snapshot.argument());
            out.writeNumberField("atOnce", snapshot.maxConcurrent());
            out.writeNumberField("failuresToPause", snapshot.failuresToPause());
            out.writeNumberField("acceptedFailures", snapshot.acceptedFailures());
            out.writeNumberField("askedAt", snapshot.requestedAt());
            out.writeNumberField("deadline", snapshot.deadline());
            out.writeStringField("state", snapshot.state().name());
            out.writeArrayFieldStart("steps");
            for (Operation.StepSnapshot step : snapshot.steps()) {
                out.writeStartObject();
                out.writeStringField("instance", step.instance());
                out.writeStringField("state", step.state().name());
                out.writeStringField("generation", Long.toString(step.generation()));
                out.writeNumberField("tries", step.attempts());
                out.writeStringField("word", step.detail());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.toString();
    }

    static Operation.Snapshot parse(String json) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            JsonObject fields = JsonObject.parse(parser);
            List<Operation.StepSnapshot> steps = new ArrayList<>();
            for (JsonObject step : fields.objects("steps")) {
                steps.add(new Operation.StepSnapshot(step.text("instance"), Step.State.valueOf(step.text("state")),
                        Long.parseLong(step.text("generation")), step.intValue("tries"), step.text("word")));
            }
            return new Operation.Snapshot(fields.text("id"), fields.longValue("number"), fields.text("action"),
                    fields.text("argument"), fields.intValue("atOnce"), fields.intValue("failuresToPause"),
                    fields.intValue("acceptedFailures", 0), fields.longValue("askedAt"), fields.longValue("deadline"),
                    Operation.State.valueOf(fields.text("state")), steps);
        } catch (Malformed | IllegalArgumentException e) {
            throw new IOException("malformed stored operation: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        store.close();
    }
}
