package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
    void logsIgnoredSignalOrRereads(boolean isIgnored) throws IOException, InterruptedException {
        Path config = folder.resolve("agent.json");
        Files.writeString(config, Files.readString(Path.of("example/agent.json"))
                .replaceAll("\"listen\": *\"[0-9.:]+\"", "\"listen\": \"127.0.0.1:0\""));
        try (AgentProcess agent = new AgentProcess(config, isIgnored ? "trap '' HUP;" : "")) {
            // The counters come first when the loop turns: the handler stands then, and one config is broken.
            assertNotNull(agent.readUntil("counters "), agent.log.toString());
            assertEquals(isIgnored, agent.log.stream().anyMatch(line -> line.contains("SIGHUP is ignored")));
            if (!isIgnored) {
                Files.writeString(config, "broken");
                agent.signal("HUP");
                assertNotNull(agent.readUntil("configuration not read"), agent.log.toString());
                assertTrue(agent.isAlive());
            }
        }
    }
}
