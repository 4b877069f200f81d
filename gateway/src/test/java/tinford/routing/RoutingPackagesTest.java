package tinford.routing;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.testng.Assert.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The packages of the request path depend on each other in one direction only. */
public class RoutingPackagesTest {
    private JavaClasses routing;

    @BeforeClass
    public void importClasses() {
        routing =
                new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("tinford.routing");
        assertTrue(routing.size() > 30, "classes imported: " + routing.size());
    }

    @Test
    public void subpackagesAreFreeOfCycles() {
        slices().matching("tinford.routing.(*)..").should().beFreeOfCycles().check(routing);
    }

    @Test
    public void sharedPackageKnowsNoSubpackage() {
        noClasses()
                .that()
                .resideInAPackage("tinford.routing")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("tinford.routing.*..")
                .check(routing);
    }

    /** The dependencies allowed are listed in the documentation of the shared package. */
    @Test
    public void subpackagesKnowOnlyWhatTheyNeed() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "tinford.routing.upstream..",
                        "tinford.routing.counter..",
                        "tinford.routing.discovery..",
                        "tinford.routing.peer..",
                        "tinford.routing.catalog..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "tinford.routing.dispatch..",
                        "tinford.routing.client..",
                        "tinford.routing.admin..")
                .check(routing);
        noClasses()
                .that()
                .resideInAnyPackage("tinford.routing.client..", "tinford.routing.admin..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("tinford.routing.dispatch..")
                .check(routing);
    }
}
