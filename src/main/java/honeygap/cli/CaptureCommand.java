package honeygap.cli;

import com.github.luben.zstd.ZstdInputStream;
import honeygap.capture.MergedCaptureReader;
import honeygap.capture.file.CaptureWriter;
import honeygap.capture.file.Packet;
import honeygap.capture.file.MalformedCaptureException;
import honeygap.capture.file.CaptureVerifier;
import honeygap.capture.file.PacketSynthesizer;
import honeygap.capture.generator.TrafficGenerator;
import honeygap.capture.message.RecordedRpc;
import honeygap.capture.packet.Address;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import honeygap.capture.query.RpcFilter;
import honeygap.capture.record.RpcWriter;
import honeygap.capture.redact.CaptureRedactor;
import honeygap.capture.redact.DataMasker;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import java.util.zip.GZIPInputStream;
import picocli.CommandLine;

/** Subcommands on capture files. Exit codes: 0 read completely, 1 a file is truncated, 2 a file cannot be read. */
@CommandLine.Command(name = "capture", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "<what>",
        description = "Inspect, convert and generate pcap and pcapng files. Live capture is not supported.",
        subcommands = {CaptureCommand.Info.class, CaptureCommand.ListRpcs.class, CaptureCommand.Show.class,
            CaptureCommand.Export.class, CaptureCommand.Cut.class, CaptureCommand.Merge.class,
            CaptureCommand.Anonymise.class, CaptureCommand.Repair.class, CaptureCommand.Make.class})
final class CaptureCommand implements Runnable {

    private static final int EXIT_TRUNCATED = 1;
    private static final int EXIT_UNREADABLE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "say what to do, such as info");
    }

    /** A command that reads capture files; each problem with a file is reported in one line. */
    abstract static class ReadingCommand implements Callable<Integer> {

        @CommandLine.Spec
        CommandLine.Model.CommandSpec spec;

        @CommandLine.Parameters(paramLabel = "FILE", arity = "1..*",
                description = "Capture files, read as one, ordered by packet time.")
        List<Path> files;

        final ProgressLine progress = new ProgressLine();

        abstract void run(MergedCaptureReader reading, PrintWriter out) throws IOException;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            try (MergedCaptureReader reading = new MergedCaptureReader(files)) {
                run(reading, spec.commandLine().getOut());
                progress.clear();
                spec.commandLine().getOut().flush();
                reading.cutOff().forEach(line -> err.println(spec.name() + ": " + line));
                return reading.cutOff().isEmpty() ? 0 : EXIT_TRUNCATED;
            } catch (MalformedCaptureException e) {
                return fail(err, e.getMessage());
            } catch (NoSuchFileException e) {
                return fail(err, e.getFile() + ": no such file");
            } catch (IOException | RpcFilter.FilterSyntaxException e) {
                return fail(err, String.valueOf(e.getMessage()));
            }
        }

        private int fail(PrintWriter err, String message) {
            progress.clear();
            spec.commandLine().getOut().flush();
            err.println(spec.name() + ": " + message);
            return EXIT_UNREADABLE;
        }

        final MergedCaptureReader.PacketListener progressListener(MergedCaptureReader reading) {
            return packet -> progress.update(() -> reading.packets() + " packets, " + (reading.bytes() >> 20) + " MiB");
        }
    }

    /** A command that processes the RPCs selected by a filter. */
    abstract static class RpcCommand extends ReadingCommand {

        @CommandLine.Option(names = "--where", paramLabel = "FILTER",
                description = "Only RPCs that match this filter, such as: method == \"book\" and took > 20ms and not served")
        String where;

        abstract void process(RecordedRpc rpc, PrintWriter out) throws IOException;

        void finished(Map<String, Long> counts, PrintWriter out) throws IOException {
        }

        @Override
        void run(MergedCaptureReader reading, PrintWriter out) throws IOException {
            Predicate<RecordedRpc> filter = RpcFilter.parse(where);
            try {
                finished(reading.conversations(rpc -> {
                    if (filter.test(rpc)) {
                        try {
                            process(rpc, out);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    }
                }, progressListener(reading)), out);
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        }
    }

    @CommandLine.Command(name = "info", mixinStandardHelpOptions = true,
            description = "Summarise captures and report all anomalies in them.")
    static final class Info extends RpcCommand {

        @CommandLine.Option(names = "--strict", description = "Also validate each pcapng file strictly against the"
                + " format specification, as a file that this program wrote.")
        private boolean strict;

        private final Map<String, Long> countsByOutcome = new TreeMap<>();
        private MergedCaptureReader captures;

        @Override
        void run(MergedCaptureReader reading, PrintWriter out) throws IOException {
            captures = reading;
            super.run(reading, out);
            if (strict) {
                for (Path file : files) {
                    CaptureVerifier validation = new CaptureVerifier(openDecompressed(file), true);
                    out.println(file + ": " + validation.packets() + " packets held, gaps " + validation.gaps() + ", faults "
                            + validation.faults().size());
                    validation.faults().forEach(out::println);
                }
            }
        }

        private static InputStream openDecompressed(Path file) throws IOException {
            InputStream in = Files.newInputStream(file);
            return file.toString().endsWith(".zst") ? new ZstdInputStream(in).setContinuous(true)
                    : file.toString().endsWith(".gz") ? new GZIPInputStream(in) : in;
        }

        @Override
        void process(RecordedRpc rpc, PrintWriter out) {
            countsByOutcome.merge(rpc.protocol + " " + rpc.method + " " + rpc.outcome, 1L, Long::sum);
        }

        @Override
        void finished(Map<String, Long> counts, PrintWriter out) {
            out.println("packets " + captures.packets() + ", bytes " + captures.bytes());
            if (captures.packets() > 0) {
                Instant first = Instant.ofEpochSecond(0, captures.firstTimestampNs());
                out.println("from " + first + ", for " + Duration.ofNanos(captures.lastTimestampNs() - captures.firstTimestampNs()));
            }
            counts.forEach((kind, count) -> out.println(kind + " " + count));
            countsByOutcome.forEach((kind, count) -> out.println("  " + kind + " " + count));
        }
    }

    @CommandLine.Command(name = "list", mixinStandardHelpOptions = true, description = "Print one line per RPC.")
    static final class ListRpcs extends RpcCommand {

        @Override
        void process(RecordedRpc rpc, PrintWriter out) {
            out.printf("%s %s %s -> %s %s %s %s %s%n", Instant.ofEpochSecond(0, rpc.requestTimeNs), rpc.protocol,
                    rpc.client, rpc.server, rpc.method, rpc.id.isEmpty() ? "-" : rpc.id,
                    rpc.outcome + (rpc.code.isEmpty() ? "" : "(" + rpc.code + ")"),
                    rpc.durationNs < 0 ? "-" : String.format("%.3fms", rpc.durationNs / 1e6));
        }
    }

    @CommandLine.Command(name = "show", mixinStandardHelpOptions = true,
            description = "Print RPCs with request and response bytes; non-printable characters as dots.")
    static final class Show extends RpcCommand {

        @Override
        void process(RecordedRpc rpc, PrintWriter out) {
            out.printf("%s connection %d, %s -> %s, %s %s, key %s, took %.3f ms%n  asked    %s%n  answered %s%n",
                    Instant.ofEpochSecond(0, rpc.requestTimeNs), rpc.connection, rpc.client, rpc.server,
                    rpc.method, rpc.outcome, rpc.key.isEmpty() ? "-" : rpc.key, rpc.durationNs / 1e6,
                    printable(rpc.request), printable(rpc.response));
        }

        private static String printable(byte[] bytes) {
            StringBuilder text = new StringBuilder();
            for (byte character : bytes) {
                text.append(character >= ' ' && character < 127 ? (char) character : '.');
            }
            return text.toString();
        }
    }

    @CommandLine.Command(name = "export", mixinStandardHelpOptions = true,
            description = "Write one row per RPC to a file: .avro, .csv or .jsonl.")
    static final class Export extends RpcCommand {

        @CommandLine.Option(names = {"-o", "--to"}, paramLabel = "FILE", required = true)
        private Path to;

        private RpcWriter rows;
        private long rowCount;

        @Override
        void run(MergedCaptureReader reading, PrintWriter out) throws IOException {
            String name = to.getFileName().toString();
            OutputStream bytes = Files.newOutputStream(to);
            if (name.endsWith(".avro")) {
                rows = new RpcWriter.Avro(bytes);
            } else if (name.endsWith(".csv")) {
                rows = new RpcWriter.Csv(bytes);
            } else if (name.endsWith(".jsonl")) {
                rows = new RpcWriter.JsonLines(bytes);
            } else {
                bytes.close();
                throw new IOException(to + ": name it .avro, .csv or .jsonl");
            }
            try {
                super.run(reading, out);
            } finally {
                rows.close();
            }
            out.println(rowCount + " rows in " + to);
        }

        @Override
        void process(RecordedRpc rpc, PrintWriter out) throws IOException {
            rows.write(rpc);
            rowCount++;
        }
    }

    /** A command that writes packets to a new capture file. */
    abstract static class PacketCommand extends ReadingCommand {

        @CommandLine.Option(names = {"-o", "--to"}, paramLabel = "FILE", required = true,
                description = "Output file, ending in .pcap or .pcapng, followed by .gz or .zst for compression.")
        Path to;

        long packetCount;

        abstract void write(MergedCaptureReader reading, CaptureWriter writer) throws IOException;

        @Override
        void run(MergedCaptureReader reading, PrintWriter out) throws IOException {
            try (CaptureWriter writer = new CaptureWriter(to)) {
                write(reading, writer);
            }
            out.println(packetCount + " packets in " + to);
        }
    }

    @CommandLine.Command(name = "cut", mixinStandardHelpOptions = true,
            description = "Extract packets by time, by port, or of connections with RPCs that match a"
                    + " filter.")
    static final class Cut extends PacketCommand {

        @CommandLine.Option(names = "--from", description = "Seconds after the first packet.", defaultValue = "0")
        private double from;

        @CommandLine.Option(names = "--until", description = "Seconds after the first packet.",
                defaultValue = "1e9")
        private double until;

        @CommandLine.Option(names = "--port", description = "Only TCP from or to this port.")
        private Integer port;

        @CommandLine.Option(names = "--where", paramLabel = "FILTER",
                description = "Only connections with an RPC that matches this filter; the files are read twice.")
        private String where;

        @Override
        void write(MergedCaptureReader reading, CaptureWriter writer) throws IOException {
            Set<List<Address>> selectedConnections = where == null ? null : selectConnections();
            Decoder decoder = new Decoder();
            Segment segment = new Segment();
            long first = Long.MIN_VALUE;
            for (Packet packet = reading.next(); packet != null; packet = reading.next()) {
                first = first == Long.MIN_VALUE ? packet.timestampNs : first;
                double seconds = (packet.timestampNs - first) / 1e9;
                if (seconds < from || seconds > until) {
                    continue;
                }
                if ((port != null || selectedConnections != null) && (!decoder.decode(packet, segment)
                        || port != null && segment.from.port() != port && segment.to.port() != port
                        || selectedConnections != null && !selectedConnections.contains(List.of(segment.from, segment.to))
                        && !selectedConnections.contains(List.of(segment.to, segment.from)))) {
                    continue;
                }
                writer.write(packet);
                packetCount++;
            }
        }

        private Set<List<Address>> selectConnections() throws IOException {
            Set<List<Address>> selected = new HashSet<>();
            Predicate<RecordedRpc> filter = RpcFilter.parse(where);
            try (MergedCaptureReader firstPass = new MergedCaptureReader(files)) {
                firstPass.conversations(rpc -> {
                    if (filter.test(rpc)) {
                        selected.add(List.of(rpc.client, rpc.server));
                    }
                }, progressListener(firstPass));
            }
            return selected;
        }
    }

    @CommandLine.Command(name = "merge", mixinStandardHelpOptions = true,
            description = "Merge the packets of several captures in order of time.")
    static final class Merge extends PacketCommand {

        @Override
        void write(MergedCaptureReader reading, CaptureWriter writer) throws IOException {
            MergedCaptureReader.PacketListener progressListener = progressListener(reading);
            for (Packet packet = reading.next(); packet != null; packet = reading.next()) {
                progressListener.packet(packet);
                writer.write(packet);
                packetCount++;
            }
        }
    }

    @CommandLine.Command(name = "repair", mixinStandardHelpOptions = true,
            description = "Recover a truncated capture up to its last complete packet.")
    static final class Repair extends PacketCommand {

        @Override
        void write(MergedCaptureReader reading, CaptureWriter writer) throws IOException {
            for (Packet packet = reading.next(); packet != null; packet = reading.next()) {
                writer.write(packet);
                packetCount++;
            }
        }

        @Override
        public Integer call() {
            int code = super.call();
            // A truncated input file is the expected case here.
            return code == EXIT_TRUNCATED ? 0 : code;
        }
    }

    @CommandLine.Command(name = "anonymise", mixinStandardHelpOptions = true,
            description = "Replace keys and values by keyed hashes of the same length; the same secret gives the"
                    + " same hashes. Data that can't be parsed is blanked out.")
    static final class Anonymise extends PacketCommand {

        @CommandLine.Option(names = "--secret", paramLabel = "FILE", required = true,
                description = "A file with the secret key for the hashes.")
        private Path secretFile;

        @Override
        void write(MergedCaptureReader reading, CaptureWriter writer) throws IOException {
            CaptureRedactor anonymiser = new CaptureRedactor(new DataMasker(Files.readAllBytes(secretFile)), packet -> {
                writer.write(packet);
                packetCount++;
            });
            try {
                reading.streams(anonymiser, progressListener(reading));
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        }
    }

    @CommandLine.Command(name = "make", mixinStandardHelpOptions = true,
            description = "Generate PostgreSQL traffic from a seed: varying rate, Zipf-distributed keys, four"
                    + " methods.")
    static final class Make implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @CommandLine.Option(names = {"-o", "--to"}, paramLabel = "FILE", required = true)
        private Path to;

        @CommandLine.Option(names = "--seed", defaultValue = "1")
        private long seed;

        @CommandLine.Option(names = "--rate", defaultValue = "200", description = "RPCs a second at the peak.")
        private double rate;

        @CommandLine.Option(names = "--seconds", defaultValue = "60")
        private double seconds;

        @CommandLine.Option(names = "--keys", defaultValue = "10000")
        private int keys;

        @CommandLine.Option(names = "--server", defaultValue = "10.0.0.1:5432")
        private String server;

        @Override
        public Integer call() throws IOException {
            int colon = server.lastIndexOf(':');
            InetSocketAddress serverAddress = new InetSocketAddress(server.substring(0, colon),
                    Integer.parseInt(server.substring(colon + 1)));
            // A fixed start time, so that a seed always gives the same file.
            long startTime = Instant.parse("2026-01-05T06:00:00Z").getEpochSecond() * 1_000_000_000L;
            try (CaptureWriter writer = new CaptureWriter(to)) {
                writer.writeFileHeader(PacketSynthesizer.LINK_TYPE_RAW);
                TrafficGenerator generator = new TrafficGenerator(writer::write, seed, rate, (long) (seconds * 1e9), startTime, keys,
                        Address.of(serverAddress));
                long rpcCount = generator.generate();
                spec.commandLine().getOut().println(rpcCount + " RPCs on " + generator.connectionCount() + " connections in "
                        + to + ", seed " + seed);
            }
            return 0;
        }
    }
}
