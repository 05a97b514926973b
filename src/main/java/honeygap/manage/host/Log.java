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
public final class Log implements AutoCloseable {

    private final Path file;
    private MVStore store;
    private MVMap<Long, String> operations;

    public Log(Path file) {
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
    public void keep(Operation.Written written) throws IOException {
        try {
            reopen();
            operations.put(written.number(), json(written));
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
    public List<Operation.Written> read() throws IOException {
        reopen();
        List<Operation.Written> all = new ArrayList<>();
        for (String words : operations.values()) {
            all.add(read(words));
        }
        return all;
    }

    /** Forgets what has ended and is older than the newest so many; the file shrinks. */
    public void compact(int kept) throws IOException {
        reopen();
        for (Long number : List.copyOf(operations.keySet())) {
            if (operations.size() > kept && !Operation.of(read(operations.get(number))).isOpen()) {
                operations.remove(number);
            }
        }
        store.commit();
        store.compactFile(1000);
    }

    static String json(Operation.Written written) throws IOException {
        StringWriter words = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(words)) {
            out.writeStartObject();
            out.writeStringField("id", written.id());
            out.writeNumberField("number", written.number());
            out.writeStringField("action", written.action());
            out.writeStringField("argument", written.argument());
            out.writeNumberField("atOnce", written.atOnce());
            out.writeNumberField("failuresToPause", written.failuresToPause());
            out.writeNumberField("askedAt", written.askedAt());
            out.writeNumberField("deadline", written.deadline());
            out.writeStringField("state", written.state().name());
            out.writeArrayFieldStart("steps");
            for (Operation.WrittenStep step : written.steps()) {
                out.writeStartObject();
                out.writeStringField("instance", step.instance());
                out.writeStringField("state", step.state().name());
                out.writeStringField("generation", Long.toString(step.generation()));
                out.writeNumberField("tries", step.tries());
                out.writeStringField("word", step.word());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return words.toString();
    }

    static Operation.Written read(String words) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(words)) {
            Fields fields = Fields.document(parser);
            List<Operation.WrittenStep> steps = new ArrayList<>();
            for (Fields step : fields.objects("steps")) {
                steps.add(new Operation.WrittenStep(step.text("instance"), Step.State.valueOf(step.text("state")),
                        Long.parseLong(step.text("generation")), step.index("tries"), step.text("word")));
            }
            return new Operation.Written(fields.text("id"), fields.whole("number"), fields.text("action"),
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
