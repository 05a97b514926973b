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

/** Sends SIGHUP to an agent in a separate process. */
class HangUpTest {

    @TempDir
    private Path folder;

    /** If SIGHUP was ignored at the start, as under nohup, a warning is logged; otherwise the settings are reloaded. */
    @ParameterizedTest
    @Timeout(60)
    @ValueSource(booleans = {false, true})
    void logsIgnoredSignalOrRereads(boolean isIgnored) throws IOException, InterruptedException {
        Path config = folder.resolve("agent.json");
        Files.writeString(config, Files.readString(Path.of("example/agent.json"))
                .replaceAll("\"listen\": *\"[0-9.:]+\"", "\"listen\": \"127.0.0.1:0\""));
        try (AgentProcess agent = new AgentProcess(config, isIgnored ? "trap '' HUP;" : "")) {
            // The first counters are logged by the running loop, after the handler was installed.
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
