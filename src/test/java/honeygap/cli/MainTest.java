package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {

    @ParameterizedTest
    @CsvSource({"'',2,'',a subcommand is missing", "balance,2,'',Unmatched argument",
            "wirehost x,2,'',Unmatched",
        "wirehost,0,'',''", "--help,0,Usage: honeygap,''", "--version,0,honeygap ,''",
        "version,0,honeygap ,''", "rehearse,0,'rehearsed, 0 classes',''",
        "serve --help,0,Usage: honeygap serve,''",
        "serve --config nowhere.json,2,'',serve: nowhere.json: no such",
        "serve --config pom.xml,2,'',serve: pom.xml: not JSON",
        "check --config nowhere.json,2,'',check: nowhere.json: no such file"})
    void subcommands(String args, int status, String out, String err) throws IOException {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        assertEquals(status, Main.run(args.isEmpty() ? new String[0] : args.split(" "),
                InputStream.nullInputStream(), new PrintStream(outBytes, true, StandardCharsets.UTF_8),
                new PrintStream(errBytes, true, StandardCharsets.UTF_8)));
        assertEquals(out, head(outBytes, out));
        assertEquals(err, head(errBytes, err));
    }

    private static String head(ByteArrayOutputStream bytes, String expected) {
        String text = bytes.toString(StandardCharsets.UTF_8);
        return expected.isEmpty() ? text : text.substring(0, Math.min(text.length(), expected.length()));
    }
}
