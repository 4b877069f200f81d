package tinford;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Checks the layering that docs/architecture.md describes, for the gateway module. */
public class ArchitectureTest {
    private JavaClasses gateway;

    @BeforeClass
    public void importClasses() {
        gateway =
                new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("tinford", "org.xnio.nio");
    }

    /** Decisions use no I/O, threads or clock; time and randomness are passed in. */
    @Test
    public void decisionsDependOnlyOnApiAndCollections() {
        classes()
                .that()
                .resideInAPackage("tinford.decision..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "tinford.decision..",
                        "tinford.api..",
                        "java.lang",
                        "java.lang.invoke",
                        "java.lang.runtime",
                        "java.util",
                        "java.util.function",
                        "java.util.stream")
                .check(gateway);
        noClasses()
                .that()
                .resideInAPackage("tinford.decision..")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.Thread")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .check(gateway);
    }

    @Test
    public void apiDependsOnNoOtherPackage() {
        classes()
                .that()
                .resideInAPackage("tinford.api..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("tinford.api..", "java.lang", "java.lang.invoke", "java.util")
                .check(gateway);
    }

    @Test
    public void onlyMainDependsOnProgramDecisionAndSimulator() {
        noClasses()
                .that()
                .resideOutsideOfPackages("tinford", "tinford.program..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("tinford.program..")
                .check(gateway);
        noClasses()
                .that()
                .resideOutsideOfPackages("tinford", "tinford.decision..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("tinford.decision..")
                .check(gateway);
        noClasses()
                .that()
                .resideOutsideOfPackages("tinford", "tinford.simulator..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("tinford.simulator..")
                .check(gateway);
    }

    @Test
    public void transportAndProtocolDependOnNoHigherLayer() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "tinford.transport..", "tinford.protocol..", "tinford.logging..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("tinford.routing..", "tinford.program..", "tinford.decision..")
                .check(gateway);
    }
}
