package honeygap.cli;

import honeygap.capture.redact.Mask;
import honeygap.capture.tape.Recorder;
import honeygap.net.Agent;
import honeygap.net.Loop;
import honeygap.net.door.Door;
import honeygap.read.Malformed;
import honeygap.read.Template;
import honeygap.share.host.Sites;
import honeygap.share.host.SitesSheet;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import picocli.CommandLine;

@CommandLine.Command(name = Configured.SERVE, mixinStandardHelpOptions = true,
        description = "Run one agent on sockets. On SIGHUP it reads its files again: the list, the desk and the flag"
                + " servers are those named there from then on.")
final class Serve extends Configured {

    private static final int RECORDER_BUFFER_BYTES = 8 << 20;

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

    @CommandLine.Option(names = "--door", paramLabel = "ADDRESS",
            description = "Listen there for a manager (off unless named); loopback alone without --door-token.")
    private String door;

    @CommandLine.Option(names = "--door-token", paramLabel = "FILE", description = "A file with the token it must show.")
    private Path doorToken;

    @CommandLine.Option(names = "--ledger", paramLabel = "FILE", defaultValue = "honeygap-ledger.jsonl",
            description = "Where commands that were carried out are kept (default: honeygap-ledger.jsonl).")
    private Path ledger;

    @CommandLine.Option(names = "--sites", paramLabel = "FILE",
            description = "Share tables with other processes as this Jsonnet file says (off unless named; needs --door).")
    private Path sitesFile;

    private Recorder recorder;
    private Loop loop;

    @Override
    void loopCreated(Loop loop) throws IOException {
        this.loop = loop;
        if (record != null) {
            Mask mask = redact == null ? null : new Mask(Files.readAllBytes(redact));
            recorder = new Recorder(record, "agent", recordSize << 20, recordAge * 1_000_000_000L, recordFiles, RECORDER_BUFFER_BYTES,
                    mask);
            loop.tap(recorder);
        }
    }

    @Override
    void run(Agent agent, PrintWriter out) throws IOException, Malformed, InterruptedException {
        HangUp.setTask(() -> agent.reread(sources()));
        if (recorder != null) {
            agent.count("recording", recorder);
        }
        Door adminEndpoint = null;
        Sites sites = null;
        if (door != null) {
            String token = doorToken == null ? "" : Files.readString(doorToken).strip();
            String name = agentSettings() != null && agentSettings().has("name") ? agentSettings().text("name") : flagSettings() != null ? flagSettings().name : "";
            // Another process is another generation, also on a machine whose clock stands still.
            long generation = new SecureRandom().nextLong() & Long.MAX_VALUE | 1;
            // Files are read beside the loop, which goes on serving.
            adminEndpoint = new Door(loop, agent, name, ledger, token, generation,
                    () -> new Thread(() -> agent.reread(sources()), "rereading").start());
            agent.count("door", adminEndpoint);
            if (sitesFile != null) {
                // Later lives go before earlier ones by the clock; one that went back is found out by the others.
                sites = new Sites(SitesSheet.of(Template.read(sitesFile), name), System.currentTimeMillis(), token);
                adminEndpoint.aside(sites);
                agent.count("sites", sites);
            }
        } else if (sitesFile != null) {
            throw new Malformed("--sites needs --door: others come by it");
        }
        // Before the first client can come: one that is told to end just then still answers it.
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
        loop.startedAt(Start.STARTED_AT);
        agent.start();
        if (adminEndpoint != null) {
            int colon = door.lastIndexOf(':');
            try {
                adminEndpoint.listen(new InetSocketAddress(door.substring(0, Math.max(0, colon)),
                        Integer.parseInt(door.substring(colon + 1))));
            } catch (NumberFormatException e) {
                throw new Malformed("not an address: " + door);
            }
            Logger.info("the door is at {}", adminEndpoint.address());
            if (sites != null) {
                sites.start(adminEndpoint.address());
                agent.share(sites);
            }
        }
        new CountDownLatch(1).await();
    }
}
