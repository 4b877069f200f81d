package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/** Which configurations and changes are invalid, and which keys their errors name. */
public class ValidatorTest {
    private static final Configuration BASIC = ConfigurationFixtures.basicConfiguration();

    @DataProvider
    public Object[][] invalidChanges() {
        return new Object[][] {
            {
                "putRoute.service",
                ConfigurationFixtures.putRoute("r", "missing"),
                "a service that exists"
            },
            {"putRoute.name", ConfigurationFixtures.putRoute("a b", "search"), "A-Z"},
            {"putRoute.name", ConfigurationFixtures.putRoute("", "search"), "1 to 64"},
            {"putRoute.name", ConfigurationFixtures.putRoute("x".repeat(65), "search"), "1 to 64"},
            {"putRoute.name", ConfigurationFixtures.putRoute("-x", "search"), "not beginning with"},
            {"removeService.name", new Change.RemoveService("search"), "no route uses; lookup"},
            {"removeService.name", new Change.RemoveService("absent"), "one that exists"},
            {"removeRoute.name", new Change.RemoveRoute("absent"), "one that exists"},
            {"removePlan.name", new Change.RemovePlan("team"), "no tenant uses; 1 does"},
            {"removePlan.name", new Change.RemovePlan("absent"), "one that exists"},
            {"removeTenant.id", new Change.RemoveTenant(77), "one that exists, not 77"},
            {"putTenant.plan", ConfigurationFixtures.putTenant(2, "missing"), "a plan that exists"},
            {"putService.name", ConfigurationFixtures.putService("a/b"), "A-Z"},
            {"putRoute.targetMs", routeWithTimes(0, 100), "above 0"},
            {"putRoute.targetMs", routeWithTimes(200, 100), "at most timeoutMs"},
            {"putRoute.targetMs", routeWithTimes(Double.NaN, 100), "above 0"},
            {
                "putRoute.timeoutMs",
                routeWithTimes(50, Double.POSITIVE_INFINITY),
                "at most 86400000"
            },
            {"putRoute.timeoutMs", routeWithTimes(50, 86_400_001), "at most 86400000"},
            {
                "putRoute.group",
                routeWithScope(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ZONE),
                "none, or all"
            },
            {"putPlan.ratePerSecond", ConfigurationFixtures.putPlan("p", -1), "from 0"},
            {"putPlan.ratePerSecond", ConfigurationFixtures.putPlan("p", Double.NaN), "from 0"},
            {"putPlan.ratePerSecond", ConfigurationFixtures.putPlan("p", 1e13), "from 0"},
            {"putPlan.burst", planWithRates(5, 0, 0, 0), "above 0 where there is a rate"},
            {"putPlan.ceilingBurst", planWithRates(5, 5, 5, 0), "above 0 where there is a rate"},
        };
    }

    @Test(dataProvider = "invalidChanges")
    public void invalidChangeIsRejectedWithKeyAndExpectation(
            String key, Change change, String expected) {
        List<ValidationError> errors = Validator.check(BASIC, List.of(change));
        assertEquals(errors.get(0).key(), "changes[0]." + key);
        assertTrue(errors.get(0).expected().contains(expected), errors.toString());
    }

    @Test
    public void referencesWithinAChangeSetAreValidInAnyOrder() {
        assertEquals(
                Validator.check(
                        BASIC,
                        List.of(
                                ConfigurationFixtures.putTenant(2, "new"),
                                ConfigurationFixtures.putPlan("new", 0),
                                ConfigurationFixtures.putRoute("r", "s"),
                                ConfigurationFixtures.putService("s"))),
                List.of());
    }

    @Test
    public void usedRecordCanBeRemovedWithItsLastUser() {
        assertEquals(
                Validator.check(
                        BASIC,
                        List.of(
                                new Change.RemoveService("search"),
                                new Change.RemoveRoute("lookup"),
                                new Change.RemovePlan("team"),
                                new Change.RemoveTenant(1))),
                List.of());
    }

    @Test
    public void recordMayBeChangedOnlyOnceInAChangeSet() {
        List<ValidationError> tenants =
                Validator.check(
                        BASIC,
                        List.of(
                                ConfigurationFixtures.putTenant(2, "team"),
                                ConfigurationFixtures.putTenant(2, "team")));
        assertEquals(
                tenants,
                List.of(
                        new ValidationError(
                                "changes[1].tenant", "one change of tenant 2 in a set")));
        List<ValidationError> routes =
                Validator.check(
                        BASIC,
                        List.of(
                                new Change.RemoveRoute("lookup"),
                                ConfigurationFixtures.putRoute("lookup", "search")));
        assertEquals(routes.get(0).key(), "changes[1].route");
    }

    @Test
    public void countsAreBounded() {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i <= ConfigurationLimits.MAX_PLANS; i++) {
            changes.add(ConfigurationFixtures.putPlan("p" + i, 0));
        }
        List<ValidationError> errors = Validator.check(Configuration.EMPTY, changes);
        assertEquals(errors, List.of(new ValidationError("plans", "at most 1024, not 1025")));
    }

    @Test
    public void changeSetIsBounded() {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i <= ConfigurationLimits.MAX_CHANGES; i++) {
            changes.add(ConfigurationFixtures.putTenant(i, "team"));
        }
        assertEquals(
                Validator.check(BASIC, changes),
                List.of(new ValidationError("changes", "at most 16384")));
    }

    @Test
    public void onlyTheFirstErrorsAreReported() {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            changes.add(new Change.RemoveTenant(1000 + i));
        }
        assertEquals(Validator.check(BASIC, changes).size(), ConfigurationLimits.MAX_ERRORS);
    }

    @Test
    public void allPartsOfAConfigurationAreValidated() {
        assertEquals(Validator.check(BASIC), List.of());
        Configuration broken =
                BASIC.with(
                        2,
                        List.of(
                                new Change.RemoveService("search"),
                                new Change.RemovePlan("team"),
                                ConfigurationFixtures.putPlan("bad", -1)));
        List<String> keys = Validator.check(broken).stream().map(ValidationError::key).toList();
        assertEquals(
                keys,
                List.of("plans.bad.ratePerSecond", "routes.lookup.service", "tenants.1.plan"));
    }

    @Test
    public void errorIsOneLineOfBoundedLength() {
        ValidationError error = new ValidationError("a\nb", "x\r\n".repeat(1000));
        assertEquals(error.key(), "a b");
        assertEquals(error.expected().lines().count(), 1);
        assertTrue(error.expected().length() <= ConfigurationLimits.MAX_TEXT_LENGTH);
    }

    private static Change routeWithTimes(double targetMs, double timeoutMs) {
        return new Change.PutRoute(
                new RouteRecord(
                        "r",
                        "search",
                        targetMs,
                        timeoutMs,
                        1,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false));
    }

    private static Change routeWithScope(Idempotency idempotency, DeduplicationScope scope) {
        return new Change.PutRoute(
                new RouteRecord("r", "search", 1, 2, 1, 0, idempotency, scope, 0, false));
    }

    private static Change planWithRates(
            double rate, double burst, double hardLimitRate, double hardLimitBurst) {
        return new Change.PutPlan(
                new PlanRecord("p", rate, burst, 0, 1, 0, 0, hardLimitRate, hardLimitBurst, 0));
    }
}
