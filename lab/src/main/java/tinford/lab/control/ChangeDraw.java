package tinford.lab.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.fleet.config.Change;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.PlanRecord;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.TenantRecord;

/**
 * Draws a configuration of a given size and changes to it. What has another name than those drawn
 * here is never touched.
 */
final class ChangeDraw {
    private static final int PLANS = 12;
    private static final int CHANGES_A_SET = 2_000;
    private static final long FIRST_TENANT = 1_000_000;
    private final UniformRandomProvider random;
    private int routesAdded;
    private long nextTenant;

    ChangeDraw(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Change sets that build the whole configuration, to be entered in this order.
     *
     * @param more changes that belong to it beside the drawn ones
     */
    List<ChangeSet> load(ControlSize size, List<Change> more) {
        List<Change> all = new ArrayList<>(more);
        for (int i = 0; i < size.services(); i++) {
            all.add(new Change.PutService(new ServiceRecord(serviceName(i))));
        }
        for (int i = 0; i < PLANS; i++) {
            all.add(new Change.PutPlan(plan(planName(i))));
        }
        for (int i = 0; i < size.routes(); i++) {
            all.add(new Change.PutRoute(route(routeName(i), serviceName(i % size.services()))));
        }
        nextTenant = FIRST_TENANT;
        for (int i = 0; i < size.tenants(); i++) {
            all.add(newTenant());
        }
        return sets("load", all);
    }

    /** Change sets that move all tenants to plans drawn anew. */
    List<ChangeSet> moveTenants(String id) {
        List<Change> all = new ArrayList<>();
        for (long tenant = FIRST_TENANT; tenant < nextTenant; tenant++) {
            all.add(new Change.PutTenant(new TenantRecord(tenant, drawnPlan())));
        }
        return sets(id, all);
    }

    private static List<ChangeSet> sets(String id, List<Change> all) {
        List<ChangeSet> sets = new ArrayList<>();
        for (int from = 0; from < all.size(); from += CHANGES_A_SET) {
            int to = Math.min(all.size(), from + CHANGES_A_SET);
            sets.add(new ChangeSet(id + "-" + sets.size(), null, all.subList(from, to)));
        }
        return sets;
    }

    /** A change that is valid upon this configuration. */
    ChangeSet next(String id, Configuration current) {
        int draw = random.nextInt(100);
        if (draw < 50) {
            return set(id, new Change.PutTenant(new TenantRecord(drawnTenant(), drawnPlan())));
        } else if (draw < 65) {
            return set(id, newTenant());
        } else if (draw < 70) {
            return set(id, new Change.RemoveTenant(removableTenant(current)));
        } else if (draw < 90) {
            RouteRecord route = drawnRoute(current);
            return set(id, new Change.PutRoute(route(route.name(), route.service())));
        } else if (draw < 95) {
            return set(id, new Change.PutPlan(plan(drawnPlan())));
        }
        String added = "added-" + routesAdded++;
        return set(
                id,
                new Change.PutService(new ServiceRecord(added)),
                new Change.PutRoute(route(added, added)));
    }

    private static ChangeSet set(String id, Change... changes) {
        return new ChangeSet(id, null, List.of(changes));
    }

    private Change newTenant() {
        return new Change.PutTenant(new TenantRecord(nextTenant++, drawnPlan()));
    }

    private long drawnTenant() {
        return FIRST_TENANT + random.nextLong(nextTenant - FIRST_TENANT);
    }

    private long removableTenant(Configuration current) {
        long id = drawnTenant();
        while (!current.tenants().containsKey(id)) {
            id = id + 1 < nextTenant ? id + 1 : FIRST_TENANT;
        }
        return id;
    }

    private RouteRecord drawnRoute(Configuration current) {
        int number = random.nextInt(current.routes().size());
        RouteRecord route = current.routes().get(routeName(number));
        return route != null ? route : current.routes().get(routeName(0));
    }

    private String drawnPlan() {
        return planName(random.nextInt(PLANS));
    }

    private PlanRecord plan(String name) {
        double rate = 1 + random.nextInt(100);
        return new PlanRecord(name, rate, 4 * rate, 0, 1, 0.2, 0.2, 2 * rate, 10 * rate, 6);
    }

    private RouteRecord route(String name, String service) {
        double target = 500 + random.nextInt(1_500);
        return new RouteRecord(
                name,
                service,
                target,
                4 * target,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false);
    }

    private static String serviceName(int number) {
        return String.format(Locale.ROOT, "service-%03d", number);
    }

    private static String routeName(int number) {
        return String.format(Locale.ROOT, "route-%04d", number);
    }

    private static String planName(int number) {
        return "plan-" + number;
    }
}
