package honeygap.net.door;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.manage.Ledger;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * A ledger on disk: a line of JSON an entry, each forced out before the command is carried out. A last line that was torn
 * is dropped: its command was not carried out. At the start the file is written anew with what is remembered.
 */
final class LedgerFile implements AutoCloseable {

    private final FileChannel channel;
    private final Ledger ledger;

    LedgerFile(Path file, Ledger ledger) throws IOException {
        this.ledger = ledger;
        if (Files.exists(file)) {
            List<String> lines = List.of(Files.readString(file, StandardCharsets.UTF_8).split("\n"));
            for (int i = 0; i < lines.size(); i++) {
                read(file, lines.get(i), i == lines.size() - 1);
            }
        }
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        StringBuilder all = new StringBuilder();
        for (Ledger.Entry entry : ledger.entries()) {
            all.append(line(entry));
        }
        Files.writeString(fresh, all);
        try (FileChannel out = FileChannel.open(fresh, StandardOpenOption.WRITE)) {
            out.force(true);
        }
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        channel = FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    private void read(Path file, String line, boolean isLast) throws IOException {
        if (line.isBlank()) {
            return;
        }
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            Fields fields = Fields.document(parser);
            ledger.restored(new Ledger.Entry(fields.text("id"), fields.whole("number"), fields.text("action"),
                    fields.text("outcome")));
        } catch (Malformed | IOException e) {
            if (!isLast) {
                throw new IOException(file + ": a line that can't be read: " + e.getMessage(), e);
            }
        }
    }

    private static String line(Ledger.Entry entry) throws IOException {
        StringWriter words = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(words)) {
            out.writeStartObject();
            out.writeStringField("id", entry.id());
            out.writeNumberField("number", entry.number());
            out.writeStringField("action", entry.action());
            out.writeStringField("outcome", entry.outcome());
            out.writeEndObject();
        }
        return words + "\n";
    }

    /** Comes back once the entry will be there after any crash. */
    void keep(Ledger.Entry entry) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(line(entry).getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
        channel.force(false);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
