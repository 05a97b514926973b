package honeygap.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import scala.Option;
import sjsonnet.DefaultParseCache;
import sjsonnet.SjsonnetMain;

/**
 * Evaluates operators' settings files, which are Jsonnet (a superset of JSON). Only this class uses the Jsonnet
 * library, so that the library is not loaded unless such a file is configured.
 */
public final class Template {

    private Template() {
    }

    /** Evaluates a file to JSON text; errors are reported with file, line and column. */
    public static String render(Path file) throws IOException, Malformed {
        if (!Files.isRegularFile(file)) {
            throw new NoSuchFileException(file.toString());
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Path folder = file.toAbsolutePath().normalize().getParent();
        int exitCode = SjsonnetMain.main0(new String[] {file.toAbsolutePath().normalize().toString()},
                new DefaultParseCache(), new ByteArrayInputStream(new byte[0]),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                os.Path$.MODULE$.apply(folder, os.PathConvertible.NioPathConvertible$.MODULE$),
                Option.empty(), Option.empty(), null);
        if (exitCode != 0) {
            throw new Malformed(err.toString(StandardCharsets.UTF_8).lines().map(String::strip)
                    .filter(line -> !line.isEmpty()).limit(2).reduce((a, b) -> a + " " + b).orElse("not Jsonnet"));
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Evaluates a file and parses the resulting JSON object. */
    public static JsonObject read(Path file) throws IOException, Malformed {
        try (JsonParser parser = new JsonFactory().createParser(render(file))) {
            return JsonObject.parse(parser);
        }
    }
}
