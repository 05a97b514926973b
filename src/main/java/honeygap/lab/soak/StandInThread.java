package honeygap.lab.soak;

import java.io.IOException;

/** Daemon threads of stand-ins with small stacks, which end silently when their peer closes the connection. */
final class StandInThread {

    private static final long STACK_BYTES = 1 << 18;

    /** Body of such a thread. */
    interface Task {

        void run() throws IOException, InterruptedException;
    }

    private StandInThread() {
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer closed the connection, or the run is over.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
