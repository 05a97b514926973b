package honeygap.cli;

import honeygap.net.Agent;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;

@CommandLine.Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Run one agent on sockets.")
final class Serve extends Configured {

    @Override
    void run(Agent agent, Fields told, PrintWriter out) throws IOException, Malformed, InterruptedException {
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
}
