package honeygap.cli;

import honeygap.manage.host.FleetSettings;
import honeygap.manage.host.Manager;
import honeygap.config.Malformed;
import honeygap.config.Template;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;
import picocli.CommandLine;

@CommandLine.Command(name = "manage", mixinStandardHelpOptions = true,
        description = "Run the manager: it polls the admin endpoints of its agents and carries out operations on them.")
final class Manage implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--fleet", paramLabel = "FILE", required = true,
            description = "The agents, as Jsonnet; docs/manage.md describes the fields.")
    private Path fleetFile;

    @Override
    public Integer call() throws InterruptedException {
        try {
            FleetSettings settings = FleetSettings.of(Template.read(fleetFile));
            String token = settings.tokenFile.isEmpty() ? "" : Files.readString(Path.of(settings.tokenFile)).strip();
            Manager manager = new Manager(settings, token);
            Runtime.getRuntime().addShutdownHook(new Thread(manager::close, "leaving"));
            manager.start();
            Logger.info("manages {} agents, asked at {}", settings.instances.size(), manager.address());
            new CountDownLatch(1).await();
            return 0;
        } catch (Malformed e) {
            e.getMessage().lines().forEach(line -> spec.commandLine().getErr().println("manage: " + fleetFile + ": " + line));
        } catch (NoSuchFileException e) {
            spec.commandLine().getErr().println("manage: " + e.getFile() + ": no such file");
        } catch (IOException | IllegalStateException e) {
            spec.commandLine().getErr().println("manage: " + e.getMessage());
        }
        return 2;
    }
}
