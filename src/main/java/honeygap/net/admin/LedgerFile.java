package honeygap.net.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.manage.Ledger;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
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
 * A command ledger on disk: one line of JSON for each entry, synced before the command is carried out. A torn last
 * line is dropped, since its command was not carried out. At startup the file is rewritten with the entries that are
 * remembered.
 */
final class LedgerFile implements AutoCloseable {

    /** The storage that lines are written to; tests inject failures here. */
    interface Storage extends AutoCloseable {

        /** Appends some or all of the remaining bytes. */
        void write(ByteBuffer bytes) throws IOException;

        void sync() throws IOException;

        long size() throws IOException;

        void truncate(long size) throws IOException;

        @Override
        void close() throws IOException;
    }

    private record FileStorage(FileChannel channel) implements Storage {

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            channel.write(bytes);
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private final Storage storage;
    private final Ledger ledger;
    /** Length of the file up to which all lines are complete and synced. */
    private long durableSize;

    LedgerFile(Path file, Ledger ledger) throws IOException {
        this(file, ledger, path -> new FileStorage(FileChannel.open(path, StandardOpenOption.WRITE,
                StandardOpenOption.APPEND)));
    }

    /** Opens the storage for a file. */
    interface StorageOpener {

        Storage open(Path file) throws IOException;
    }

    LedgerFile(Path file, Ledger ledger, StorageOpener opener) throws IOException {
        this.ledger = ledger;
        if (Files.exists(file)) {
            List<String> lines = List.of(Files.readString(file, StandardCharsets.UTF_8).split("\n"));
            for (int i = 0; i < lines.size(); i++) {
                readLine(file, lines.get(i), i == lines.size() - 1);
            }
        }
        Path rewritten = file.resolveSibling(file.getFileName() + ".new");
        StringBuilder contents = new StringBuilder();
        for (Ledger.Entry entry : ledger.entries()) {
            contents.append(toLine(entry));
        }
        Files.writeString(rewritten, contents);
        try (FileChannel out = FileChannel.open(rewritten, StandardOpenOption.WRITE)) {
            out.force(true);
        }
        Files.move(rewritten, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        syncDirectory(file);
        storage = opener.open(file);
        durableSize = storage.size();
    }

    /** Syncs the directory of a file; only then is a rename durable. */
    private static void syncDirectory(Path file) throws IOException {
        try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private void readLine(Path file, String line, boolean isLast) throws IOException {
        if (line.isBlank()) {
            return;
        }
        try (JsonParser parser = new JsonFactory().createParser(line)) {
            JsonObject fields = JsonObject.parse(parser);
            ledger.restore(new Ledger.Entry(fields.text("id"), fields.longValue("number"), fields.text("action"),
                    fields.text("outcome")));
        } catch (Malformed | IOException e) {
            if (!isLast) {
                throw new IOException(file + ": a line that can't be read: " + e.getMessage(), e);
            }
        }
    }

    private static String toLine(Ledger.Entry entry) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeStringField("id", entry.id());
            out.writeNumberField("number", entry.number());
            out.writeStringField("action", entry.action());
            out.writeStringField("outcome", entry.outcome());
            out.writeEndObject();
        }
        return text + "\n";
    }

    /**
     * Returns once the entry is durable. If that fails, the partial line is removed: the next line must not follow half
     * a line, and a command that was reported as not carried out must not be found at the next start.
     */
    void append(Ledger.Entry entry) throws IOException {
        truncateToDurable();
        ByteBuffer bytes = ByteBuffer.wrap(toLine(entry).getBytes(StandardCharsets.UTF_8));
        long size = durableSize + bytes.remaining();
        try {
            while (bytes.hasRemaining()) {
                storage.write(bytes);
            }
            storage.sync();
            durableSize = size;
        } catch (IOException e) {
            try {
                truncateToDurable();
            } catch (IOException truncateFailure) {
                // Retried before the next line is written.
                e.addSuppressed(truncateFailure);
            }
            throw e;
        }
    }

    /** Removes the remains of a failed write. */
    private void truncateToDurable() throws IOException {
        if (storage.size() > durableSize) {
            storage.truncate(durableSize);
        }
    }

    @Override
    public void close() throws IOException {
        storage.close();
    }
}
