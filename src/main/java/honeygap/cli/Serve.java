package honeygap.cli;

import honeygap.capture.redact.DataMasker;
import honeygap.capture.recorder.Recorder;
import honeygap.net.Agent;
import honeygap.net.Loop;
import honeygap.net.admin.AdminEndpoint;
import honeygap.config.Malformed;
import honeygap.config.Template;
import honeygap.replication.host.TableReplicator;
import honeygap.replication.host.ReplicationSettings;
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
        description = "Run one agent on sockets. On SIGHUP it reloads its files: the addresses of discovery, desk and flag"
                + " servers are taken from them from then on.")
final class Serve extends Configured {

    private static final int RECORDER_BUFFER_BYTES = 8 << 20;

    @CommandLine.Option(names = "--record", paramLabel = "FOLDER",
            description = "Record all traffic into capture files in this folder (off by default).")
    private Path recordFolder;

    @CommandLine.Option(names = "--record-size", paramLabel = "MIB", defaultValue = "256",
            description = "Start a new file after this many MiB before compression (default: 256).")
    private long recordSize;

    @CommandLine.Option(names = "--record-age", paramLabel = "SECONDS", defaultValue = "600",
            description = "Start a new file after this many seconds (default: 600).")
    private long recordAge;

    @CommandLine.Option(names = "--record-files", paramLabel = "N", defaultValue = "24",
            description = "Maximum number of files; the oldest is deleted (default: 24).")
    private int recordFiles;

    @CommandLine.Option(names = "--redact", paramLabel = "FILE",
            description = "Replace keys and values in captures by hashes keyed with the secret in this file.")
    private Path redactionSecretFile;

    @CommandLine.Option(names = "--door", paramLabel = "ADDRESS",
            description = "Address of the admin endpoint for a manager (off by default); loopback only without --door-token.")
    private String adminAddress;

    @CommandLine.Option(names = "--door-token", paramLabel = "FILE", description = "A file with the token that the manager has to send.")
    private Path adminTokenFile;

    @CommandLine.Option(names = "--ledger", paramLabel = "FILE", defaultValue = "honeygap-ledger.jsonl",
            description = "File that stores the executed commands (default: honeygap-ledger.jsonl).")
    private Path ledgerFile;

    @CommandLine.Option(names = "--sites", paramLabel = "FILE",
            description = "Replicate tables with other processes, as set in this Jsonnet file (off by default; needs --door).")
    private Path sitesFile;

    private Recorder recorder;
    private Loop loop;

    @Override
    void loopCreated(Loop loop) throws IOException {
        this.loop = loop;
        loop.setThreadFailureListener(ThreadFailure::endProcess);
        if (recordFolder != null) {
            loop.memory().reserve(RECORDER_BUFFER_BYTES);
            DataMasker mask = redactionSecretFile == null ? null : new DataMasker(Files.readAllBytes(redactionSecretFile));
            recorder = new Recorder(recordFolder, "agent", recordSize << 20, recordAge * 1_000_000_000L, recordFiles, RECORDER_BUFFER_BYTES,
                    mask);
            loop.setTrafficListener(recorder);
        }
    }

    @Override
    void run(Agent agent, PrintWriter out) throws IOException, Malformed, InterruptedException {
        HangUp.setTask(() -> agent.reload(sources()));
        if (recorder != null) {
            agent.addCounters("recording", recorder);
        }
        AdminEndpoint adminEndpoint = null;
        TableReplicator sites = null;
        if (adminAddress != null) {
            String token = adminTokenFile == null ? "" : Files.readString(adminTokenFile).strip();
            String name = agentSettings() != null && agentSettings().has("name") ? agentSettings().text("name")
                    : flagSettings() != null ? flagSettings().name : "";
            // Random rather than taken from the clock, so that it is unique even if the clock does not advance.
            long generation = new SecureRandom().nextLong() & Long.MAX_VALUE | 1;
            // Files are read on a separate thread so that the event loop keeps serving.
            adminEndpoint = new AdminEndpoint(loop, agent, name, ledgerFile, token, generation,
                    () -> new Thread(() -> agent.reload(sources()), "rereading").start());
            agent.addCounters("door", adminEndpoint);
            if (sitesFile != null) {
                // A restart supersedes earlier runs by the clock; the other members detect a clock that went back.
                sites = new TableReplicator(ReplicationSettings.of(Template.read(sitesFile), name), System.currentTimeMillis(), token);
                adminEndpoint.asyncHandler(sites);
                agent.addCounters("sites", sites);
            }
        } else if (sitesFile != null) {
            throw new Malformed("--sites needs --door: other processes connect to it");
        }
        // Installed before the first client can connect, so that even an immediate SIGTERM leaves no client unanswered.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                agent.shutDownGracefully();
                if (recorder != null) {
                    recorder.close();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "leaving"));
        loop.setProgramStart(Start.STARTED_AT);
        agent.start();
        if (adminEndpoint != null) {
            int colon = adminAddress.lastIndexOf(':');
            try {
                adminEndpoint.listen(new InetSocketAddress(adminAddress.substring(0, Math.max(0, colon)),
                        Integer.parseInt(adminAddress.substring(colon + 1))));
            } catch (NumberFormatException e) {
                throw new Malformed("not an address: " + adminAddress);
            }
            Logger.info("the door is at {}", adminEndpoint.address());
            if (sites != null) {
                sites.start(adminEndpoint.address());
                agent.shareLoad(sites);
            }
        }
        new CountDownLatch(1).await();
    }
}
