package honeygap.cli;

import com.github.luben.zstd.ZstdInputStream;
import honeygap.capture.Reading;
import honeygap.capture.file.CaptureWriter;
import honeygap.capture.file.Packet;
import honeygap.capture.file.Spoilt;
import honeygap.capture.file.Strict;
import honeygap.capture.file.Synthesis;
import honeygap.capture.make.Morning;
import honeygap.capture.message.Spoken;
import honeygap.capture.packet.Address;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import honeygap.capture.query.Filter;
import honeygap.capture.record.Rows;
import honeygap.capture.redact.Anonymous;
import honeygap.capture.redact.Mask;
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

/** Subcommands on capture files. Exit codes: 0 all read, 1 read up to where a file was cut off, 2 not to be read. */
@CommandLine.Command(name = "capture", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "<what>",
        description = "Look at pcap and pcapng files, and make new ones. Nothing is ever captured live.",
        subcommands = {CaptureCommand.Info.class, CaptureCommand.ListRpcs.class, CaptureCommand.Show.class,
            CaptureCommand.Export.class, CaptureCommand.Cut.class, CaptureCommand.Merge.class,
            CaptureCommand.Anonymise.class, CaptureCommand.Repair.class, CaptureCommand.Make.class})
final class CaptureCommand implements Runnable {

    private static final int CUT_OFF = 1;
    private static final int UNREAD = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "say what to do, such as info");
    }

    /** One that reads files: what is wrong with them is one line. */
    abstract static class OnFiles implements Callable<Integer> {

        @CommandLine.Spec
        CommandLine.Model.CommandSpec spec;

        @CommandLine.Parameters(paramLabel = "FILE", arity = "1..*",
                description = "Captures, read as one in the order of their packets' times.")
        List<Path> files;

        final Progress progress = new Progress();

        abstract void run(Reading reading, PrintWriter out) throws IOException;

        @Override
        public Integer call() {
            PrintWriter err = spec.commandLine().getErr();
            try (Reading reading = new Reading(files)) {
                run(reading, spec.commandLine().getOut());
                progress.end();
                spec.commandLine().getOut().flush();
                reading.cutOff().forEach(line -> err.println(spec.name() + ": " + line));
                return reading.cutOff().isEmpty() ? 0 : CUT_OFF;
            } catch (Spoilt e) {
                return fail(err, e.getMessage());
            } catch (NoSuchFileException e) {
                return fail(err, e.getFile() + ": no such file");
            } catch (IOException | Filter.Unread e) {
                return fail(err, String.valueOf(e.getMessage()));
            }
        }

        private int fail(PrintWriter err, String words) {
            progress.end();
            spec.commandLine().getOut().flush();
            err.println(spec.name() + ": " + words);
            return UNREAD;
        }

        final Reading.Hearer each(Reading reading) {
            return packet -> progress.tell(() -> reading.packets() + " packets, " + (reading.bytes() >> 20) + " MiB");
        }
    }

    /** One that takes some of the RPCs. */
    abstract static class OnRpcs extends OnFiles {

        @CommandLine.Option(names = "--where", paramLabel = "FILTER",
                description = "Only RPCs for which this holds, as: method == \"book\" and took > 20ms and not served")
        String where;

        abstract void rpc(Spoken spoken, PrintWriter out) throws IOException;

        void after(Map<String, Long> counts, PrintWriter out) throws IOException {
        }

        @Override
        void run(Reading reading, PrintWriter out) throws IOException {
            Predicate<Spoken> wanted = Filter.of(where);
            try {
                after(reading.conversations(spoken -> {
                    if (wanted.test(spoken)) {
                        try {
                            rpc(spoken, out);
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    }
                }, each(reading)), out);
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        }
    }

    @CommandLine.Command(name = "info", mixinStandardHelpOptions = true,
            description = "Say what is in captures, and all that is out of the ordinary there.")
    static final class Info extends OnRpcs {

        @CommandLine.Option(names = "--strict", description = "Also hold each pcapng file against the letter of the"
                + " formats, as one that this program wrote.")
        private boolean strict;

        private final Map<String, Long> rpcs = new TreeMap<>();
        private Reading read;

        @Override
        void run(Reading reading, PrintWriter out) throws IOException {
            read = reading;
            super.run(reading, out);
            if (strict) {
                for (Path file : files) {
                    Strict checked = new Strict(plain(file), true);
                    out.println(file + ": " + checked.packets() + " packets held, gaps " + checked.gaps() + ", faults "
                            + checked.faults().size());
                    checked.faults().forEach(out::println);
                }
            }
        }

        private static InputStream plain(Path file) throws IOException {
            InputStream in = Files.newInputStream(file);
            return file.toString().endsWith(".zst") ? new ZstdInputStream(in).setContinuous(true)
                    : file.toString().endsWith(".gz") ? new GZIPInputStream(in) : in;
        }

        @Override
        void rpc(Spoken spoken, PrintWriter out) {
            rpcs.merge(spoken.protocol + " " + spoken.method + " " + spoken.outcome, 1L, Long::sum);
        }

        @Override
        void after(Map<String, Long> counts, PrintWriter out) {
            out.println("packets " + read.packets() + ", bytes " + read.bytes());
            if (read.packets() > 0) {
                Instant first = Instant.ofEpochSecond(0, read.firstAt());
                out.println("from " + first + ", for " + Duration.ofNanos(read.lastAt() - read.firstAt()));
            }
            counts.forEach((kind, many) -> out.println(kind + " " + many));
            rpcs.forEach((kind, many) -> out.println("  " + kind + " " + many));
        }
    }

    @CommandLine.Command(name = "list", mixinStandardHelpOptions = true, description = "A line an RPC.")
    static final class ListRpcs extends OnRpcs {

        @Override
        void rpc(Spoken spoken, PrintWriter out) {
            out.printf("%s %s %s -> %s %s %s %s %s%n", Instant.ofEpochSecond(0, spoken.at), spoken.protocol,
                    spoken.client, spoken.server, spoken.method, spoken.id.isEmpty() ? "-" : spoken.id,
                    spoken.outcome + (spoken.code.isEmpty() ? "" : "(" + spoken.code + ")"),
                    spoken.took < 0 ? "-" : String.format("%.3fms", spoken.took / 1e6));
        }
    }

    @CommandLine.Command(name = "show", mixinStandardHelpOptions = true,
            description = "RPCs with all that was asked and answered, control characters as dots.")
    static final class Show extends OnRpcs {

        @Override
        void rpc(Spoken spoken, PrintWriter out) {
            out.printf("%s connection %d, %s -> %s, %s %s, key %s, took %.3f ms%n  asked    %s%n  answered %s%n",
                    Instant.ofEpochSecond(0, spoken.at), spoken.connection, spoken.client, spoken.server,
                    spoken.method, spoken.outcome, spoken.key.isEmpty() ? "-" : spoken.key, spoken.took / 1e6,
                    words(spoken.request), words(spoken.answer));
        }

        private static String words(byte[] bytes) {
            StringBuilder words = new StringBuilder();
            for (byte one : bytes) {
                words.append(one >= ' ' && one < 127 ? (char) one : '.');
            }
            return words.toString();
        }
    }

    @CommandLine.Command(name = "export", mixinStandardHelpOptions = true,
            description = "A row an RPC, into a file: .avro, .csv or .jsonl.")
    static final class Export extends OnRpcs {

        @CommandLine.Option(names = {"-o", "--to"}, paramLabel = "FILE", required = true)
        private Path to;

        private Rows rows;
        private long many;

        @Override
        void run(Reading reading, PrintWriter out) throws IOException {
            String name = to.getFileName().toString();
            OutputStream bytes = Files.newOutputStream(to);
            if (name.endsWith(".avro")) {
                rows = new Rows.Avro(bytes);
            } else if (name.endsWith(".csv")) {
                rows = new Rows.Csv(bytes);
            } else if (name.endsWith(".jsonl")) {
                rows = new Rows.JsonLines(bytes);
            } else {
                bytes.close();
                throw new IOException(to + ": name it .avro, .csv or .jsonl");
            }
            try {
                super.run(reading, out);
            } finally {
                rows.close();
            }
            out.println(many + " rows in " + to);
        }

        @Override
        void rpc(Spoken spoken, PrintWriter out) throws IOException {
            rows.write(spoken);
            many++;
        }
    }

    /** One that writes packets. */
    abstract static class OnPackets extends OnFiles {

        @CommandLine.Option(names = {"-o", "--to"}, paramLabel = "FILE", required = true,
                description = "Ends in .pcap or .pcapng, then .gz or .zst where it is to be compressed.")
        Path to;

        long many;

        abstract void write(Reading reading, CaptureWriter writer) throws IOException;

        @Override
        void run(Reading reading, PrintWriter out) throws IOException {
            try (CaptureWriter writer = new CaptureWriter(to)) {
                write(reading, writer);
            }
            out.println(many + " packets in " + to);
        }
    }

    @CommandLine.Command(name = "cut", mixinStandardHelpOptions = true,
            description = "Some of the packets: by time, by port, or those of connections with RPCs that a filter"
                    + " takes.")
    static final class Cut extends OnPackets {

        @CommandLine.Option(names = "--from", description = "Seconds after the first packet.", defaultValue = "0")
        private double from;

        @CommandLine.Option(names = "--until", description = "Seconds after the first packet.",
                defaultValue = "1e9")
        private double until;

        @CommandLine.Option(names = "--port", description = "Only TCP from or to this port.")
        private Integer port;

        @CommandLine.Option(names = "--where", paramLabel = "FILTER",
                description = "Only connections with an RPC for which this holds; the files are read twice.")
        private String where;

        @Override
        void write(Reading reading, CaptureWriter writer) throws IOException {
            Set<List<Address>> kept = where == null ? null : connections();
            Decoder decoder = new Decoder();
            Segment segment = new Segment();
            long first = Long.MIN_VALUE;
            for (Packet packet = reading.next(); packet != null; packet = reading.next()) {
                first = first == Long.MIN_VALUE ? packet.at : first;
                double seconds = (packet.at - first) / 1e9;
                if (seconds < from || seconds > until) {
                    continue;
                }
                if ((port != null || kept != null) && (!decoder.read(packet, segment)
                        || port != null && segment.from.port() != port && segment.to.port() != port
                        || kept != null && !kept.contains(List.of(segment.from, segment.to))
                        && !kept.contains(List.of(segment.to, segment.from)))) {
                    continue;
                }
                writer.write(packet);
                many++;
            }
        }

        private Set<List<Address>> connections() throws IOException {
            Set<List<Address>> kept = new HashSet<>();
            Predicate<Spoken> wanted = Filter.of(where);
            try (Reading once = new Reading(files)) {
                once.conversations(spoken -> {
                    if (wanted.test(spoken)) {
                        kept.add(List.of(spoken.client, spoken.server));
                    }
                }, each(once));
            }
            return kept;
        }
    }

    @CommandLine.Command(name = "merge", mixinStandardHelpOptions = true,
            description = "All packets of several captures, in the order of their times.")
    static final class Merge extends OnPackets {

        @Override
        void write(Reading reading, CaptureWriter writer) throws IOException {
            Reading.Hearer each = each(reading);
            for (Packet packet = reading.next(); packet != null; packet = reading.next()) {
                each.packet(packet);
                writer.write(packet);
                many++;
            }
        }
    }

    @CommandLine.Command(name = "repair", mixinStandardHelpOptions = true,
            description = "All that is whole of a capture that was cut off, up to its last whole packet.")
    static final class Repair extends OnPackets {

        @Override
        void write(Reading reading, CaptureWriter writer) throws IOException {
            for (Packet packet = reading.next(); packet != null; packet = reading.next()) {
                writer.write(packet);
                many++;
            }
        }

        @Override
        public Integer call() {
            int code = super.call();
            // A file that was cut off is what this is for.
            return code == CUT_OFF ? 0 : code;
        }
    }

    @CommandLine.Command(name = "anonymise", mixinStandardHelpOptions = true,
            description = "The same conversations with keys and values as keyed hashes of their length; the same"
                    + " secret gives the same hashes. What can't be read is blacked out.")
    static final class Anonymise extends OnPackets {

        @CommandLine.Option(names = "--secret", paramLabel = "FILE", required = true,
                description = "A file with the secret of the hashes.")
        private Path secret;

        @Override
        void write(Reading reading, CaptureWriter writer) throws IOException {
            Anonymous anonymous = new Anonymous(new Mask(Files.readAllBytes(secret)), packet -> {
                writer.write(packet);
                many++;
            });
            try {
                reading.streams(anonymous, each(reading));
            } catch (UncheckedIOException e) {
                throw e.getCause();
            }
        }
    }

    @CommandLine.Command(name = "make", mixinStandardHelpOptions = true,
            description = "Make a morning of PostgreSQL traffic from a seed: a rate that swells and ebbs, keys by"
                    + " Zipf, four methods.")
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
            InetSocketAddress at = new InetSocketAddress(server.substring(0, colon),
                    Integer.parseInt(server.substring(colon + 1)));
            // A morning begins at six.
            long from = Instant.parse("2026-01-05T06:00:00Z").getEpochSecond() * 1_000_000_000L;
            try (CaptureWriter writer = new CaptureWriter(to)) {
                writer.begin(Synthesis.RAW);
                Morning morning = new Morning(writer::write, seed, rate, (long) (seconds * 1e9), from, keys,
                        Address.of(at));
                long made = morning.make();
                spec.commandLine().getOut().println(made + " RPCs on " + morning.connections() + " connections in "
                        + to + ", seed " + seed);
            }
            return 0;
        }
    }
}
