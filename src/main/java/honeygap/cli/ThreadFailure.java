package honeygap.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Ends the process after the failure of a thread that it can't do without. A process that lives on and serves nobody
 * would be kept by its supervisor; one that has ended is started again.
 */
final class ThreadFailure {

    /** The exit code for an internal software error, as in the sysexits convention. */
    static final int EXIT_CODE = 70;

    /** Prepared in advance: there may be no memory left. */
    private static final byte[] MESSAGE = "honeygap: a thread has failed, the process ends\n".getBytes(StandardCharsets.US_ASCII);
    private static final FileOutputStream STANDARD_ERROR = new FileOutputStream(FileDescriptor.err);

    private ThreadFailure() {
    }

    /** Ends the process at once: a shutdown in order would wait for the thread that has failed. */
    static void endProcess(Throwable cause) {
        try {
            STANDARD_ERROR.write(MESSAGE);
        } catch (IOException e) {
            // The exit code tells it too.
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
