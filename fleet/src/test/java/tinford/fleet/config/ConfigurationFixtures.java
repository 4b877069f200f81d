package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/** Records, change sets and random proposals for tests. */
final class ConfigurationFixtures {
    static final String FLEET = "test-fleet";

    private ConfigurationFixtures() {}

    static RouteRecord route(String name, String service) {
        return new RouteRecord(
                name,
                service,
                100,
                400,
                1,
                0.25,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false);
    }

    static PlanRecord plan(String name, double ratePerSecond) {
        return new PlanRecord(name, ratePerSecond, ratePerSecond + 1, 8, 1, 0.5, 0.1, 0, 0, 0);
    }

    static ChangeSet changeSet(String id, Change... changes) {
        return new ChangeSet(id, null, List.of(changes));
    }

    static Change putService(String name) {
        return new Change.PutService(new ServiceRecord(name));
    }

    static Change putRoute(String name, String service) {
        return new Change.PutRoute(route(name, service));
    }

    static Change putPlan(String name, double ratePerSecond) {
        return new Change.PutPlan(plan(name, ratePerSecond));
    }

    static Change putTenant(long id, String plan) {
        return new Change.PutTenant(new TenantRecord(id, plan));
    }

    /** Changes that add one record of each kind. */
    static List<Change> basicChanges() {
        return List.of(
                putService("search"),
                putRoute("lookup", "search"),
                putPlan("team", 10),
                putTenant(1, "team"));
    }

    static Configuration basicConfiguration() {
        return Configuration.EMPTY.with(1, basicChanges());
    }

    /** A configuration with the given numbers of records, to test at the size of the deployment. */
    static Configuration largeConfiguration(int services, int routes, int plans, int tenants) {
        List<Change> changes = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            changes.add(putService("service-" + i));
        }
        for (int i = 0; i < routes; i++) {
            changes.add(putRoute("route-" + i, "service-" + i % services));
        }
        for (int i = 0; i < plans; i++) {
            changes.add(putPlan("plan-" + i, 10 + i));
        }
        for (int i = 0; i < tenants; i++) {
            changes.add(putTenant(1_000_003L * i, "plan-" + i % plans));
        }
        return Configuration.EMPTY.with(1, changes);
    }

    /** Uses few different names, so that many proposals conflict and are rejected. */
    static Proposal randomProposal(Random random, long currentRevision) {
        String id = "proposal-" + random.nextInt(1_000_000);
        if (random.nextInt(8) == 0) {
            return new Revert(id, random.nextInt((int) currentRevision + 2));
        }
        List<Change> changes = new ArrayList<>();
        int count = 1 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            changes.add(randomChange(random));
        }
        Long expected =
                random.nextInt(6) == 0 ? Math.max(0, currentRevision - random.nextInt(2)) : null;
        return new ChangeSet(id, expected, changes);
    }

    private static Change randomChange(Random random) {
        String name = "n" + random.nextInt(4);
        String other = "n" + random.nextInt(4);
        return switch (random.nextInt(10)) {
            case 0, 1 -> putService(name);
            case 2 -> new Change.RemoveService(name);
            case 3, 4 -> putRoute(name, other);
            case 5 -> new Change.RemoveRoute(name);
            case 6 -> putPlan(name, random.nextInt(5));
            case 7 -> new Change.RemovePlan(name);
            case 8 -> putTenant(random.nextInt(5), name);
            default -> new Change.RemoveTenant(random.nextInt(5));
        };
    }
}
