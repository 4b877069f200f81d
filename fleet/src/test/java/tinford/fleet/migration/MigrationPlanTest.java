package tinford.fleet.migration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.RequestClass;

/** Validation of plans of staged migrations, and the order of their steps. */
public class MigrationPlanTest {
    static final String VALID_PLAN =
            """
            plan = "p"
            soak_ms = 10
            [bad]
            margin = 0.1
            answers = 10
            [[frontends]]
            name = "web"
            from = "a"
            to = "b"
            needs = ["store"]
            shares = [0.5, 1.0]
            units = 10
            connections = 5
            [[frontends]]
            name = "store"
            from = "a"
            to = "b"
            shares = [1.0]
            units = 10
            connections = 5
            """;

    static MigrationPlanReader reader() {
        return new MigrationPlanReader(
                new MigrationPlan.ValidationContext(
                        Map.of(
                                "web",
                                requestClass("web", Idempotency.IDEMPOTENT),
                                "store",
                                requestClass("store", Idempotency.IDEMPOTENCY_KEY)),
                        Map.of("web", "a", "store", "a"),
                        Map.of(
                                "a",
                                new MigrationPlan.GroupCapacity(50, 50, 0.3),
                                "b",
                                new MigrationPlan.GroupCapacity(20, 10, 0.3))));
    }

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(
                name, 100, 1000, 1, 0, idempotency, DeduplicationScope.ALL, 5000, false);
    }

    @Test
    public void aDependencyMovesCompletelyBeforeItsDependent() {
        MigrationPlan plan = reader().read("f", VALID_PLAN);
        assertEquals(
                plan.steps.size(),
                6,
                "the start, three steps for store, one step for each of the two stages of web");
        for (MigrationStep step : plan.steps) {
            assertTrue(
                    step.frontends().get(0).movingShare() == 0
                            || step.frontends().get(1).movedShare() == 1,
                    step.toString());
        }
    }

    @DataProvider
    public Object[][] invalidPlans() {
        return new Object[][] {
            {"plan = \"p\"", "plan = ", "f:1: text: expected TOML"},
            {"plan = \"p\"", "plan = 1", "f:1: plan: expected a string"},
            {"margin = 0.1", "margin = 2", "f:4: margin: expected a share from 0 to 1"},
            {"answers = 10", "answers = 0", "f:5: answers: expected"},
            {"soak_ms = 10", "soak_ms = -1", "f:2: soak_ms: expected"},
            {"soak_ms = 10", "soak = 1\nsoak_ms = 10", "f:2: soak: expected no key of this name"},
            {
                "name = \"web\"",
                "name = \"wob\"",
                "f:7: frontends[1].name: expected one of the frontends that may migrate, not wob"
            },
            {
                "name = \"web\"",
                "name = \"store\"",
                "f:15: frontends[2].name: expected a name of at most 64 characters, of no earlier"
                        + " frontend, not store"
            },
            {
                "needs = [\"store\"]",
                "needs = [\"wob\"]",
                "f:10: frontends[1].needs: expected frontends of this plan, not wob"
            },
            {
                "needs = [\"store\"]",
                "needs = [\"web\"]",
                "f:10: frontends[1].needs: expected no cycle, but web depends on itself"
            },
            {
                "shares = [1.0]",
                "needs = [\"web\"]\nshares = [1.0]",
                "f:18: frontends[2].needs: expected no cycle, but store depends on itself"
            },
            {
                "needs = [\"store\"]",
                "begins = 1\nneeds = [\"store\"]",
                "f:10: frontends[1].begins: expected stage 2 or later"
            },
            {"[0.5, 1.0]", "[0.5, 0.4, 1.0]", "f:11: frontends[1].shares: expected 1 to 64 shares"},
            {
                "[0.5, 1.0]",
                "[0.5]",
                "f:11: frontends[1].shares: expected 1 as the last share, not 0.5"
            },
            {"[0.5, 1.0]", "[]", "f:11: frontends[1].shares"},
            {"to = \"b\"", "to = \"a\"", "f:9: frontends[1].to: expected a group other than a"},
            {"to = \"b\"", "to = \"c\"", "f:9: frontends[1].to: expected a known group, not c"},
            {
                "from = \"a\"",
                "from = \"c\"",
                "f:8: frontends[1].from: expected the group that the frontend is in: a"
            },
            {
                "units = 10",
                "units = 11",
                "f:19: frontends[2].units: expected at most 20.0 in total"
            },
            {
                "connections = 5",
                "connections = 6",
                "f:20: frontends[2].connections: expected at most 10 in total"
            },
        };
    }

    @Test(dataProvider = "invalidPlans")
    public void reportsTheLineOfAnInvalidPlan(
            String valid, String replacement, String expectedError) {
        int begin = VALID_PLAN.indexOf(valid);
        String text =
                VALID_PLAN.substring(0, begin)
                        + replacement
                        + VALID_PLAN.substring(begin + valid.length());
        PlanErrors.InvalidPlanException exception =
                expectThrows(PlanErrors.InvalidPlanException.class, () -> reader().read("f", text));
        assertTrue(
                exception.errors().stream().anyMatch(error -> error.startsWith(expectedError)),
                exception.getMessage());
    }

    @Test
    public void reportsAllErrorsAtOnce() {
        String text =
                VALID_PLAN
                        .replace("margin = 0.1", "margin = 2")
                        .replace("[0.5, 1.0]", "[0.5]")
                        .replace("units = 10", "units = 30");
        PlanErrors.InvalidPlanException exception =
                expectThrows(PlanErrors.InvalidPlanException.class, () -> reader().read("f", text));
        assertTrue(exception.errors().size() >= 3, exception.getMessage());
        expectThrows(
                PlanErrors.InvalidPlanException.class, () -> reader().read("f", "plan = \"p\"\n"));
    }
}
