package honeygap.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;

/** A small library, built with the machine's C compiler, by which system calls of an agent fail and its wall clock steps. */
final class SystemFaults {

    private static final String SOURCE = "faults.c";

    private final Path library;
    private final Path clockFile;
    private final int faultRate;
    private volatile long stepSeconds;

    /** One in so many calls fails; 0 is none. */
    SystemFaults(Path folder, int faultRate) throws IOException, InterruptedException {
        this.faultRate = faultRate;
        Path source = folder.resolve(SOURCE);
        library = folder.resolve("faults.so");
        clockFile = Files.writeString(folder.resolve("clock"), "0");
        try (InputStream in = SystemFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Process compiler = new ProcessBuilder(List.of("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(),
                source.toString(), "-ldl")).redirectErrorStream(true).start();
        String said = new String(compiler.getInputStream().readAllBytes());
        if (compiler.waitFor() != 0) {
            throw new IOException("the library of faults can't be built: " + said);
        }
    }

    /** What a process is told by its environment. */
    Map<String, String> environment(long seed) {
        return Map.of("LD_PRELOAD", library.toString(), "HONEYGAP_FAULT_RATE", Integer.toString(faultRate),
                "HONEYGAP_FAULT_SEED", Long.toString(seed), "HONEYGAP_CLOCK_FILE", clockFile.toString());
    }

    /** Steps the wall clock of all processes by so much more. */
    synchronized void step(long seconds) throws IOException {
        stepSeconds += seconds;
        Path next = Files.writeString(clockFile.resolveSibling("clock.new"), Long.toString(stepSeconds));
        Files.move(next, clockFile, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The wall clock that all processes read, in milliseconds since 1970. */
    long wallMs() {
        return System.currentTimeMillis() + 1000 * stepSeconds;
    }
}
