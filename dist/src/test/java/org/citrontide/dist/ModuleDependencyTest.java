package org.citrontide.dist;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Checks that modules depend on each other in one direction only, and that core does no I/O and reads no clock. */
final class ModuleDependencyTest {
    private static final String BASE_PACKAGE = "org.citrontide.";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.citrontide");

    @Test
    void modulesDependInOneDirection() {
        assertNoDependency(
                "core", "wire", "runtime", "store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        assertNoDependency("wire", "runtime", "store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        assertNoDependency("runtime", "store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        assertNoDependency("store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        assertNoDependency("platform", "wire", "runtime", "store", "gateway", "entry", "sidecar", "cli", "fakes");
        assertNoDependency("gateway", "wire", "store", "entry", "sidecar", "cli", "fakes");
        assertNoDependency("entry", "platform", "gateway", "sidecar", "cli", "fakes");
        assertNoDependency("sidecar", "platform", "gateway", "entry", "cli", "fakes");
        assertNoDependency("cli", "platform", "fakes");
        assertNoDependency(
                "fakes", "core.dispatch", "core.gate", "store", "platform", "gateway", "entry", "sidecar", "cli");
    }

    @Test
    void coreDoesNoInputOrOutputAndReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage(BASE_PACKAGE + "core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "java.util.concurrent..")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CLASSES);
    }

    private static void assertNoDependency(String from, String... targets) {
        for (String target : targets) {
            noClasses()
                    .that()
                    .resideInAPackage(BASE_PACKAGE + from + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(BASE_PACKAGE + target + "..")
                    .check(CLASSES);
        }
    }
}
