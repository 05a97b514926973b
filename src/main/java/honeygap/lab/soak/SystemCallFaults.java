package honeygap.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;

/**
 * Preloaded library, built with the C compiler of the machine, that makes system calls of an agent fail and steps its
 * wall clock.
 */
final class SystemCallFaults {

    private static final String SOURCE = "faults.c";

    private final Path library;
    private final Path clockFile;
    private final int callsPerFault;
    private volatile long clockOffsetSeconds;

    /**
     * Builds the library.
     *
     * @param callsPerFault one in this many calls fails; 0 for no faults
     */
    SystemCallFaults(Path folder, int callsPerFault) throws IOException, InterruptedException {
        this.callsPerFault = callsPerFault;
        Path source = folder.resolve(SOURCE);
        library = folder.resolve("faults.so");
        clockFile = Files.writeString(folder.resolve("clock"), "0");
        try (InputStream in = SystemCallFaults.class.getResourceAsStream(SOURCE)) {
            Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
        }
        Process compiler = new ProcessBuilder(List.of("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(),
                source.toString(), "-ldl")).redirectErrorStream(true).start();
        String output = new String(compiler.getInputStream().readAllBytes());
        if (compiler.waitFor() != 0) {
            throw new IOException("fault library failed to compile: " + output);
        }
    }

    /** Environment variables that load the library into a process. */
    Map<String, String> environment(long faultSeed) {
        return Map.of("LD_PRELOAD", library.toString(), "HONEYGAP_FAULT_RATE", Integer.toString(callsPerFault),
                "HONEYGAP_FAULT_SEED", Long.toString(faultSeed), "HONEYGAP_CLOCK_FILE", clockFile.toString());
    }

    /** Steps the wall clock of all processes by the given seconds, on top of earlier steps. */
    synchronized void stepClock(long seconds) throws IOException {
        clockOffsetSeconds += seconds;
        Path newFile = Files.writeString(clockFile.resolveSibling("clock.new"), Long.toString(clockOffsetSeconds));
        Files.move(newFile, clockFile, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Wall-clock time that all processes see, in milliseconds since 1970. */
    long wallClockMs() {
        return System.currentTimeMillis() + 1000 * clockOffsetSeconds;
    }
}
