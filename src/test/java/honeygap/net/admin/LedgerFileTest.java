package honeygap.net.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import honeygap.manage.Ledger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A command ledger on a disk whose writes, syncs and truncations fail temporarily. */
class LedgerFileTest {

    @TempDir
    private Path folder;

    /** Storage that fails as configured: in writes after a number of bytes, in syncs, in truncations. */
    private static final class FailingStorage implements LedgerFile.Storage {

        private final FileChannel channel;
        private int bytesBeforeFull = Integer.MAX_VALUE;
        private boolean syncFails;
        private boolean truncationFails;

        FailingStorage(Path file) throws IOException {
            channel = FileChannel.open(file, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            if (bytesBeforeFull <= 0) {
                throw new IOException("No space left on device");
            }
            int count = Math.min(bytesBeforeFull, bytes.remaining());
            channel.write(bytes.slice(bytes.position(), count));
            bytes.position(bytes.position() + count);
            bytesBeforeFull -= count;
        }

        @Override
        public void sync() throws IOException {
            if (syncFails) {
                throw new IOException("Input/output error");
            }
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            if (truncationFails) {
                throw new IOException("Input/output error");
            }
            channel.truncate(size);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private static Ledger.Entry entry(String id, long number) {
        return new Ledger.Entry(id, number, "drain", "done");
    }

    private List<String> restored(Path file) throws IOException {
        Ledger ledger = new Ledger(10, 1);
        new LedgerFile(file, ledger).close();
        return ledger.entries().stream().map(Ledger.Entry::id).toList();
    }

    /** An entry whose write failed is absent at the next start; entries appended after it are readable. */
    @ParameterizedTest
    @CsvSource({"0,false,false", "7,false,false", "7,false,true", "1000,true,false", "1000,true,true"})
    void failedWriteLeavesNothing(int bytesBeforeFull, boolean syncFails, boolean truncationFails) throws Exception {
        Path file = folder.resolve("ledger");
        FailingStorage[] storage = new FailingStorage[1];
        try (LedgerFile ledger = new LedgerFile(file, new Ledger(10, 1), path -> storage[0] = new FailingStorage(path))) {
            ledger.append(entry("before", 1));
            storage[0].bytesBeforeFull = bytesBeforeFull;
            storage[0].syncFails = syncFails;
            storage[0].truncationFails = truncationFails;
            assertThrows(IOException.class, () -> ledger.append(entry("failed", 2)));
            assertThrows(IOException.class, () -> ledger.append(entry("failed", 2)), "the disk still fails");
            storage[0].bytesBeforeFull = Integer.MAX_VALUE;
            storage[0].syncFails = false;
            storage[0].truncationFails = false;
            ledger.append(entry("after", 3));
        }
        assertEquals(List.of("before", "after"), restored(file));
    }

    /**
     * The process is killed during a write: the command of the torn line was not acknowledged, all earlier ones were.
     */
    @Test
    void tornLastLineIsDropped() throws Exception {
        Path file = folder.resolve("ledger");
        try (LedgerFile ledger = new LedgerFile(file, new Ledger(10, 1))) {
            ledger.append(entry("before", 1));
        }
        Files.writeString(file, "{\"id\":\"torn", StandardOpenOption.APPEND);
        assertEquals(List.of("before"), restored(file));
    }
}
