package honeygap.lab.soak;

import java.io.IOException;

/** Threads of stand-ins: small, and over without a word when the other side has closed. */
final class StandInThread {

    private static final long STACK_BYTES = 1 << 18;

    /** What such a thread does. */
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
                // The other side has closed, or the run is over.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
