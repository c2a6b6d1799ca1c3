package org.citrontide.dist;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Checks that modules depend one way only, and that decisions do no I/O and read no clock. */
final class ModuleArrowsTest {
    private static final String BASE = "org.citrontide.";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.citrontide");

    @Test
    void arrowsGoOneWay() {
        forbid("core", "wire", "runtime", "store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        forbid("wire", "runtime", "store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        forbid("runtime", "store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        forbid("store", "platform", "gateway", "entry", "sidecar", "cli", "fakes");
        forbid("platform", "wire", "runtime", "store", "gateway", "entry", "sidecar", "cli", "fakes");
        forbid("gateway", "wire", "store", "entry", "sidecar", "cli", "fakes");
        forbid("entry", "platform", "gateway", "sidecar", "cli", "fakes");
        forbid("sidecar", "platform", "gateway", "entry", "cli", "fakes");
        forbid("cli", "platform", "fakes");
        forbid("fakes", "core.dispatch", "core.gate", "store", "platform", "gateway", "entry", "sidecar", "cli");
    }

    @Test
    void decisionsDoNoInputOrOutputAndReadNoClock() {
        noClasses()
                .that()
                .resideInAPackage(BASE + "core..")
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

    private static void forbid(String from, String... to) {
        for (String target : to) {
            noClasses()
                    .that()
                    .resideInAPackage(BASE + from + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(BASE + target + "..")
                    .check(CLASSES);
        }
    }
}
