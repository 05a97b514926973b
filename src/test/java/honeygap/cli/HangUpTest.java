package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An agent in a process of its own: what it makes of SIGHUP, as it was started. */
class HangUpTest {

    @TempDir
    private Path folder;

    /** Where SIGHUP is ignored from the start, as under nohup, it is said; elsewhere the files are read again. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(booleans = {false, true})
    void said(boolean ignored) throws IOException, InterruptedException {
        Path config = folder.resolve("agent.json");
        Files.writeString(config, Files.readString(Path.of("example/agent.json"))
                .replaceAll("\"listen\": *\"[0-9.:]+\"", "\"listen\": \"127.0.0.1:0\""));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(List.of("sh", "-c", (ignored ? "trap '' HUP;" : "")
                + " exec \"$0\" -cp \"$1\" honeygap.cli.Start serve --config \"$2\"", java,
                System.getProperty("java.class.path"), config.toString())).redirectErrorStream(true).start();
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            boolean said = false;
            String line = lines.readLine();
            // The counters come first when the loop turns: the handler stands then, and one config is broken.
            while (line != null && !line.contains("counters ")) {
                said |= line.contains("SIGHUP is ignored");
                line = lines.readLine();
            }
            assertEquals(ignored, said);
            if (!ignored) {
                Files.writeString(config, "broken");
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                while (line != null && !line.contains("configuration not read")) {
                    line = lines.readLine();
                }
                assertEquals(true, line != null && process.isAlive());
            }
        } finally {
            process.destroyForcibly();
        }
    }
}
