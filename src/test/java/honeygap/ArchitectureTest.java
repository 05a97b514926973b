package honeygap;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Dependencies point one way: from the command line to I/O, from I/O to decision code, from there to state. */
class ArchitectureTest {

    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("honeygap");

    private static final String[] IO = {"java.io..", "java.net..", "java.nio.channels..", "java.nio.file..",
        "org.apache.mina..", "org.tinylog..", "com.fasterxml..", "picocli..", "honeygap.net..", "honeygap.cli..",
        "honeygap.config..", "honeygap.simulator.."};

    private static ArchRule noDependency(String from, String... to) {
        return noClasses().that().resideInAPackage(from).should().dependOnClassesThat().resideInAnyPackage(to);
    }

    @Test
    void decisionsDependOnNoIo() {
        noClasses().that().resideInAnyPackage("honeygap", "honeygap.rules..", "honeygap.settings..", "honeygap.flags..").should()
                .dependOnClassesThat().resideInAnyPackage(IO).check(ALL);
        noClasses().that().resideInAPackage("honeygap.fleet..").should().dependOnClassesThat()
                .resideInAnyPackage("honeygap", "honeygap.rules..", "honeygap.flags..", "honeygap.net..", "honeygap.config..")
                .check(ALL);
    }

    /** Each module depends only on those before it in the list; the model fit, for example, not on routing. */
    @Test
    void decisionModulesAreLayered() {
        String[] order = {"fit", "work", "health", "coldstart", "exposure", "concurrency", "evidence", "votes", "shutdown", "routing"};
        for (int i = 0; i < order.length; i++) {
            for (int later = i + 1; later < order.length; later++) {
                noDependency("honeygap.rules." + order[i] + "..", "honeygap.rules." + order[later] + "..").check(ALL);
            }
            noDependency("honeygap.rules." + order[i] + "..", "honeygap.simulator..", "honeygap.manage..").check(ALL);
        }
        noDependency("honeygap.rules.routing..", "honeygap.rules.votes..").check(ALL);
    }

    /** Replication, membership and work distribution decide without I/O; the event loop does not depend on them. */
    @Test
    void replicationDecisionsDependOnNoIo() {
        noClasses().that().resideInAnyPackage("honeygap.replication.table..", "honeygap.replication.member..", "honeygap.peerload..")
                .should().dependOnClassesThat().resideInAnyPackage(IO).check(ALL);
        noClasses().that().resideInAnyPackage("honeygap.net..", "honeygap.rules..", "honeygap.fleet..").should()
                .dependOnClassesThat().resideInAnyPackage("honeygap.replication..", "honeygap.peerload..", "honeygap.lab..")
                .check(ALL);
        // Only the subcommand that runs the lab depends on it.
        noClasses().that().resideOutsideOfPackage("honeygap.lab..").and().doNotHaveFullyQualifiedName("honeygap.cli.Lab").should()
                .dependOnClassesThat().resideInAPackage("honeygap.lab..").check(ALL);
    }

    /** TCP reassembly, operations and replay planning use no files or sockets. */
    @Test
    void otherDecisionsDependOnNoIo() {
        noClasses().that().resideInAPackage("honeygap.manage").should().dependOnClassesThat().resideInAnyPackage(IO)
                .check(ALL);
        noClasses().that().resideInAPackage("honeygap.capture.stream..").or()
                .haveFullyQualifiedName("honeygap.capture.replay.ReplaySchedule").should().dependOnClassesThat()
                .resideInAnyPackage(IO).check(ALL);
        noClasses().that().resideInAPackage("honeygap.net..").or().resideInAPackage("honeygap.config..").should()
                .dependOnClassesThat().resideInAPackage("honeygap.capture..").check(ALL);
    }

    @Test
    void decisionsUseNoClockOrRandomness() {
        noClasses().that().resideInAnyPackage("honeygap", "honeygap.rules..", "honeygap.fleet..", "honeygap.flags..",
                "honeygap.capture.stream..").should().callMethod(System.class, "nanoTime").orShould()
                .callMethod(System.class, "currentTimeMillis").orShould()
                .dependOnClassesThat().haveFullyQualifiedName("java.util.Random").check(ALL);
    }

    @Test
    void clientSideIsIndependentOfUpstreamSide() {
        for (String front : List.of("honeygap.net.clients..", "honeygap.net.flagclients..", "honeygap.net.connections..")) {
            noDependency(front, "honeygap.net.appliances..", "honeygap.net.flagservers..", "honeygap.net.upstream..").check(ALL);
        }
        for (String back : List.of("honeygap.net.appliances..", "honeygap.net.flagservers..", "honeygap.net.upstream..")) {
            noDependency(back, "honeygap.net.clients..", "honeygap.net.flagclients..", "honeygap.net.connections..").check(ALL);
        }
        noDependency("honeygap.net.clients..", "honeygap.net.flagclients..").check(ALL);
        noDependency("honeygap.net.appliances..", "honeygap.net.flagservers..").check(ALL);
    }

    @Test
    void nothingDependsOnTheCommandLine() {
        noClasses().that().resideOutsideOfPackage("honeygap.cli..").should().dependOnClassesThat()
                .resideInAPackage("honeygap.cli..").check(ALL);
        noClasses().that().resideInAnyPackage("honeygap.net..", "honeygap.config..", "honeygap.flags..").should()
                .dependOnClassesThat().resideInAPackage("honeygap.standin..").check(ALL);
    }

    /** The template library needs much memory and agents have little, so only one class, loaded on demand, uses it. */
    @Test
    void onlyTemplateUsesTheTemplateLibrary() {
        noClasses().that().doNotHaveFullyQualifiedName("honeygap.config.Template").should().dependOnClassesThat()
                .resideInAnyPackage("sjsonnet..", "scala..", "os..").check(ALL);
    }
}
