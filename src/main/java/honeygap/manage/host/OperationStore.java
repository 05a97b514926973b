package honeygap.manage.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.manage.Operation;
import honeygap.manage.Step;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/** Operations on disk, by their numbers, in an embedded store: what is kept is there after any crash. */
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
     * Comes back once it is on the disk. A store closes itself when a write fails, and what was put into it would go with
     * the next one: it is opened anew from what the disk has, at once or, while that fails too, at the next call.
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

    /** All that is kept, oldest first. */
    public List<Operation.Snapshot> loadAll() throws IOException {
        reopen();
        List<Operation.Snapshot> snapshots = new ArrayList<>();
        for (String json : operations.values()) {
            snapshots.add(parse(json));
        }
        return snapshots;
    }

    /** Forgets what has ended and is older than the newest so many; the file shrinks. */
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
            Fields fields = Fields.document(parser);
            List<Operation.StepSnapshot> steps = new ArrayList<>();
            for (Fields step : fields.objects("steps")) {
                steps.add(new Operation.StepSnapshot(step.text("instance"), Step.State.valueOf(step.text("state")),
                        Long.parseLong(step.text("generation")), step.index("tries"), step.text("word")));
            }
            return new Operation.Snapshot(fields.text("id"), fields.whole("number"), fields.text("action"),
                    fields.text("argument"), fields.index("atOnce"), fields.index("failuresToPause"),
                    fields.whole("askedAt"), fields.whole("deadline"),
                    Operation.State.valueOf(fields.text("state")), steps);
        } catch (Malformed | IllegalArgumentException e) {
            throw new IOException("an operation that can't be read: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        store.close();
    }
}
