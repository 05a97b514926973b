package honeygap.cli;

import honeygap.capture.redact.Mask;
import honeygap.capture.tape.Recorder;
import honeygap.net.Agent;
import honeygap.net.Loop;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import picocli.CommandLine;

@CommandLine.Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Run one agent on sockets. On SIGHUP it reads its files again: the list, the desk and the flag"
                + " servers are those named there from then on.")
final class Serve extends Configured {

    private static final int RING = 8 << 20;

    @CommandLine.Option(names = "--record", paramLabel = "FOLDER",
            description = "Write all that is sent and received into captures there (off unless named).")
    private Path record;

    @CommandLine.Option(names = "--record-size", paramLabel = "MIB", defaultValue = "256",
            description = "A new file after so many MiB before compression (default: 256).")
    private long recordSize;

    @CommandLine.Option(names = "--record-age", paramLabel = "SECONDS", defaultValue = "600",
            description = "A new file after so many seconds (default: 600).")
    private long recordAge;

    @CommandLine.Option(names = "--record-files", paramLabel = "N", defaultValue = "24",
            description = "The oldest file goes when there are more (default: 24).")
    private int recordFiles;

    @CommandLine.Option(names = "--redact", paramLabel = "FILE",
            description = "Hide keys and values in captures, as hashes with the secret in this file.")
    private Path redact;

    private Recorder recorder;

    @Override
    void made(Loop loop) throws IOException {
        if (record != null) {
            Mask mask = redact == null ? null : new Mask(Files.readAllBytes(redact));
            recorder = new Recorder(record, "agent", recordSize << 20, recordAge * 1_000_000_000L, recordFiles, RING,
                    mask);
            loop.tap(recorder);
        }
    }

    @Override
    void run(Agent agent, PrintWriter out) throws IOException, InterruptedException {
        onHangUp(() -> agent.reread(sources()));
        if (recorder != null) {
            agent.count("recording", recorder);
        }
        agent.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                agent.leave();
                if (recorder != null) {
                    recorder.close();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "leaving"));
        new CountDownLatch(1).await();
    }

    /**
     * Guards against the runtime's own answer to SIGHUP, which is to end. Its class for signals is found by
     * name: the compiler warns of it wherever it stands, and warnings fail the build.
     */
    private static void onHangUp(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object told = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> {
                        task.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), told);
        } catch (ReflectiveOperationException e) {
            Logger.warn(e, "SIGHUP can't be heard here");
        }
    }
}
