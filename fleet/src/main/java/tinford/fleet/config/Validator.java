package tinford.fleet.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Decides whether a configuration is sound; nothing comes into force that isn't. */
public final class Validator {
    private final ValidationErrors faults = new ValidationErrors();
    private final RecordChecks records = new RecordChecks(faults);

    private Validator() {}

    /**
     * What is wrong with changes to a sound configuration; empty where the result is sound.
     *
     * @param before sound
     */
    public static List<ValidationError> check(Configuration before, List<Change> changes) {
        return check(before, changes, before.with(before.revision() + 1, changes));
    }

    /**
     * The same, where the result is at hand.
     *
     * @param after {@code before} with the changes
     */
    static List<ValidationError> check(
            Configuration before, List<Change> changes, Configuration after) {
        Validator validator = new Validator();
        validator.checkEach(before, changes);
        validator.checkCounts(after);
        if (validator.faults.isEmpty()) {
            validator.checkReferences(changes, after);
        }
        return validator.faults.toList();
    }

    /** What is wrong with a whole configuration; empty where it is sound. */
    public static List<ValidationError> check(Configuration whole) {
        Validator validator = new Validator();
        validator.checkCounts(whole);
        validator.checkWhole(whole);
        return validator.faults.toList();
    }

    /** What a change touches; a set touches each thing once. */
    private record Target(String kind, Object key) {}

    private void checkEach(Configuration before, List<Change> changes) {
        faults.expect(
                changes.size() <= ConfigurationLimits.CHANGES,
                "changes",
                "at most " + ConfigurationLimits.CHANGES);
        Set<Target> targets = new HashSet<>();
        for (int i = 0; i < changes.size(); i++) {
            String prefix = "changes[" + i + "].";
            Change change = changes.get(i);
            checkOne(prefix, change, before);
            Target target = target(change);
            faults.expect(
                    targets.add(target),
                    prefix + target.kind(),
                    "one change of " + target.kind() + " " + target.key() + " in a set");
        }
    }

    private void checkOne(String prefix, Change change, Configuration before) {
        if (change instanceof Change.PutService put) {
            records.service(prefix + "putService", put.service());
        } else if (change instanceof Change.PutRoute put) {
            records.route(prefix + "putRoute", put.route());
        } else if (change instanceof Change.PutPlan put) {
            records.plan(prefix + "putPlan", put.plan());
        } else if (change instanceof Change.PutTenant put) {
            records.tenant(prefix + "putTenant", put.tenant());
        } else if (change instanceof Change.RemoveService remove) {
            expectPresent(before.services(), remove.name(), prefix + "removeService.name");
        } else if (change instanceof Change.RemoveRoute remove) {
            expectPresent(before.routes(), remove.name(), prefix + "removeRoute.name");
        } else if (change instanceof Change.RemovePlan remove) {
            expectPresent(before.plans(), remove.name(), prefix + "removePlan.name");
        } else if (change instanceof Change.RemoveTenant remove) {
            expectPresent(before.tenants(), remove.id(), prefix + "removeTenant.id");
        }
    }

    private void expectPresent(Map<?, ?> map, Object key, String where) {
        faults.expect(map.containsKey(key), where, "one that exists, not " + key);
    }

    private static Target target(Change change) {
        if (change instanceof Change.PutService put) {
            return new Target("service", put.service().name());
        } else if (change instanceof Change.RemoveService remove) {
            return new Target("service", remove.name());
        } else if (change instanceof Change.PutRoute put) {
            return new Target("route", put.route().name());
        } else if (change instanceof Change.RemoveRoute remove) {
            return new Target("route", remove.name());
        } else if (change instanceof Change.PutPlan put) {
            return new Target("plan", put.plan().name());
        } else if (change instanceof Change.RemovePlan remove) {
            return new Target("plan", remove.name());
        } else if (change instanceof Change.PutTenant put) {
            return new Target("tenant", put.tenant().id());
        } else if (change instanceof Change.RemoveTenant remove) {
            return new Target("tenant", remove.id());
        }
        throw new IllegalArgumentException("unknown change " + change);
    }

    private void checkCounts(Configuration after) {
        expectAtMost("services", after.services().size(), ConfigurationLimits.SERVICES);
        expectAtMost("routes", after.routes().size(), ConfigurationLimits.ROUTES);
        expectAtMost("plans", after.plans().size(), ConfigurationLimits.PLANS);
        expectAtMost("tenants", after.tenants().size(), ConfigurationLimits.TENANTS);
    }

    private void expectAtMost(String key, int count, int limit) {
        faults.expect(count <= limit, key, "at most " + limit + ", not " + count);
    }

    /** Only what the changes can have broken. */
    private void checkReferences(List<Change> changes, Configuration after) {
        for (int i = 0; i < changes.size(); i++) {
            String prefix = "changes[" + i + "].";
            Change change = changes.get(i);
            if (change instanceof Change.PutRoute put) {
                expectService(prefix + "putRoute", put.route(), after);
            } else if (change instanceof Change.PutTenant put) {
                expectPlan(prefix + "putTenant", put.tenant(), after);
            } else if (change instanceof Change.RemoveService remove) {
                expectServiceUnused(prefix + "removeService.name", remove.name(), after);
            } else if (change instanceof Change.RemovePlan remove) {
                expectPlanUnused(prefix + "removePlan.name", remove.name(), after);
            }
        }
    }

    private void expectService(String prefix, RouteRecord route, Configuration after) {
        faults.expect(
                after.services().containsKey(route.service()),
                prefix + ".service",
                "a service that exists, not " + route.service());
    }

    private void expectPlan(String prefix, TenantRecord tenant, Configuration after) {
        faults.expect(
                after.plans().containsKey(tenant.plan()),
                prefix + ".plan",
                "a plan that exists, not " + tenant.plan());
    }

    private void expectServiceUnused(String key, String service, Configuration after) {
        for (RouteRecord route : after.routes().values()) {
            if (route.service().equals(service)) {
                faults.expect(
                        false, key, "a service that no route uses; " + route.name() + " does");
                return;
            }
        }
    }

    private void expectPlanUnused(String key, String plan, Configuration after) {
        for (TenantRecord tenant : after.tenants().values()) {
            if (tenant.plan().equals(plan)) {
                faults.expect(false, key, "a plan that no tenant uses; " + tenant.id() + " does");
                return;
            }
        }
    }

    private void checkWhole(Configuration whole) {
        for (ServiceRecord service : whole.services().values()) {
            records.service("services." + service.name(), service);
        }
        for (PlanRecord plan : whole.plans().values()) {
            records.plan("plans." + plan.name(), plan);
        }
        for (RouteRecord route : whole.routes().values()) {
            String prefix = "routes." + route.name();
            records.route(prefix, route);
            expectService(prefix, route, whole);
        }
        for (TenantRecord tenant : whole.tenants().values()) {
            String prefix = "tenants." + tenant.id();
            records.tenant(prefix, tenant);
            expectPlan(prefix, tenant, whole);
        }
    }
}
