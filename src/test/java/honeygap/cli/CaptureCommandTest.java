package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.capture.record.RpcColumns;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.avro.file.DataFileReader;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** End-to-end tests of the commands on capture files. */
class CaptureCommandTest {

    @TempDir
    private Path folder;
    private String out;
    private String err;

    private int run(String commandLine) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        List<String> args = new ArrayList<>();
        for (String word : commandLine.split(" ")) {
            args.add(word.replace('_', ' ').replace("@", folder + "/"));
        }
        int code = Main.run(args.toArray(new String[0]), InputStream.nullInputStream(),
                new PrintStream(outBytes, true, StandardCharsets.UTF_8),
                new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return code;
    }

    @BeforeEach
    void make() {
        assertEquals(0, run("capture make -o @m.pcapng --seed 3 --rate 100 --seconds 3"), err);
    }

    private long lines() {
        return out.lines().count();
    }

    @Test
    void sameSeedGivesSameFile() throws IOException {
        run("capture make -o @n.pcapng --seed 3 --rate 100 --seconds 3");
        assertEquals(-1, Files.mismatch(folder.resolve("m.pcapng"), folder.resolve("n.pcapng")));
        run("capture make -o @n.pcapng --seed 4 --rate 100 --seconds 3");
        assertTrue(Files.mismatch(folder.resolve("m.pcapng"), folder.resolve("n.pcapng")) >= 0);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "capture info @m.pcapng|0|RPCs ", "capture info --strict @m.pcapng|0|faults 0",
        "capture list @m.pcapng|0|pg 10.0.1.0:20001 -> 10.0.0.1:5432 ", "capture list --where method_==_\"book\" @m.pcapng|0| book ",
        "capture show --where refused @m.pcapng|0|answered E", "capture info @nothing|2|no such file",
        "capture list --where method_=_5 @m.pcapng|2|column 8", "capture info pom.xml|2|neither pcap nor pcapng",
        "capture export -o @x.txt @m.pcapng|2|name it .avro, .csv or .jsonl", "capture|2|say what to do",
        "capture cut -o @x.pcap --from 1 --until 2 @m.pcapng|0| packets in ",
        "capture cut -o @x.pcap --port 80 @m.pcapng|0|0 packets in ",
        "capture merge -o @x.pcap.gz @m.pcapng @m.pcapng|0| packets in ",
        "replay @m.pcapng --to nowhere|2|replay: ", "replay @m.pcapng --to 127.0.0.1:9 --speed 0|2|must be above 0",
        "render @nothing|2|no such file", "check --flags @nothing|2|no such file"})
    void commands(String commandLine, int code, String expected) {
        assertEquals(code, run(commandLine), err);
        assertTrue((code == 0 ? out : err).contains(expected), out + err);
    }

    /** Each export format has one row per RPC, with all columns. */
    @ParameterizedTest
    @ValueSource(strings = {"csv", "jsonl", "avro"})
    void exportsAllRows(String form) throws IOException {
        run("capture list --where read @m.pcapng");
        long rpcs = lines();
        assertTrue(rpcs > 50);
        assertEquals(0, run("capture export --where read -o @rows." + form + " @m.pcapng"), err);
        Path file = folder.resolve("rows." + form);
        if (form.equals("avro")) {
            int rows = 0;
            try (DataFileReader<GenericRecord> reader = new DataFileReader<>(file.toFile(), new GenericDatumReader<>())) {
                for (GenericRecord row : reader) {
                    assertEquals(RpcColumns.COLUMNS.size(), row.getSchema().getFields().size());
                    assertTrue((Long) row.get("took_ns") > 0 && row.get("key_hash").toString().length() == 16);
                    rows++;
                }
            }
            assertEquals(rpcs, rows);
        } else {
            List<String> rows = Files.readAllLines(file);
            assertEquals(rpcs + (form.equals("csv") ? 1 : 0), rows.size());
            for (RpcColumns.Column column : RpcColumns.COLUMNS) {
                assertTrue(rows.get(0).contains(column.name()), rows.get(0));
            }
        }
    }

    /** A truncated capture is reported with exit code 1; after repair it is read completely. */
    @Test
    void repairsTruncatedCapture() throws IOException {
        byte[] whole = Files.readAllBytes(folder.resolve("m.pcapng"));
        Files.write(folder.resolve("cut.pcapng"), Arrays.copyOf(whole, whole.length * 2 / 3));
        assertEquals(1, run("capture info @cut.pcapng"));
        assertTrue(err.contains("cut.pcapng: byte ") && err.contains("cut off"), err);
        assertEquals(0, run("capture repair -o @whole.pcapng @cut.pcapng"), err);
        assertEquals(0, run("capture info --strict @whole.pcapng"), err);
        assertTrue(out.contains("faults 0"), out);
    }

    /** Captures that were cut by a filter or anonymised contain the expected RPCs. */
    @Test
    void derivedCapturesHoldExpectedRpcs() throws IOException {
        run("capture list @m.pcapng");
        long all = lines();
        Files.write(folder.resolve("secret"), new byte[] {1, 2, 3});
        assertEquals(0, run("capture anonymise --secret @secret -o @hidden.pcapng.zst @m.pcapng"), err);
        run("capture list @hidden.pcapng.zst");
        assertEquals(all, lines());
        run("capture show @m.pcapng");
        String key = out.replaceAll("(?s).*?key ([0-9a-f]{16}).*", "$1");
        run("capture show @hidden.pcapng.zst");
        assertTrue(!out.contains(key));
        assertEquals(0, run("capture cut --where connection_==_1 -o @one.pcap @m.pcapng"), err);
        run("capture list @one.pcap");
        long one = lines();
        run("capture list --where connection_==_1 @m.pcapng");
        assertEquals(one, lines());
        assertTrue(one > 0 && one < all);
    }
}
