package tinford.fleet.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates configurations and changes to them, so that an invalid one never becomes active. */
public final class Validator {
    private final ValidationErrors errors = new ValidationErrors();
    private final RecordChecks recordChecks = new RecordChecks(errors);

    private Validator() {}

    /**
     * Validates changes to a configuration; returns the errors, none if the result is valid.
     *
     * @param before a valid configuration
     */
    public static List<ValidationError> check(Configuration before, List<Change> changes) {
        return check(before, changes, before.with(before.revision() + 1, changes));
    }

    /**
     * The same if the result has already been computed.
     *
     * @param after {@code before} with the changes
     */
    static List<ValidationError> check(
            Configuration before, List<Change> changes, Configuration after) {
        Validator validator = new Validator();
        validator.checkChanges(before, changes);
        validator.checkCounts(after);
        if (validator.errors.isEmpty()) {
            validator.checkReferences(changes, after);
        }
        return validator.errors.toList();
    }

    /** Validates a whole configuration; returns its errors, none if it is valid. */
    public static List<ValidationError> check(Configuration configuration) {
        Validator validator = new Validator();
        validator.checkCounts(configuration);
        validator.checkRecords(configuration);
        return validator.errors.toList();
    }

    /**
     * The record that a change adds, replaces or removes; one change set may have each only once.
     */
    private record Target(String kind, Object key) {}

    private void checkChanges(Configuration before, List<Change> changes) {
        errors.expect(
                changes.size() <= ConfigurationLimits.MAX_CHANGES,
                "changes",
                "at most " + ConfigurationLimits.MAX_CHANGES);
        Set<Target> targets = new HashSet<>();
        for (int i = 0; i < changes.size(); i++) {
            String prefix = "changes[" + i + "].";
            Change change = changes.get(i);
            checkChange(prefix, change, before);
            Target target = target(change);
            errors.expect(
                    targets.add(target),
                    prefix + target.kind(),
                    "one change of " + target.kind() + " " + target.key() + " in a set");
        }
    }

    private void checkChange(String prefix, Change change, Configuration before) {
        if (change instanceof Change.PutService put) {
            recordChecks.checkService(prefix + "putService", put.service());
        } else if (change instanceof Change.PutRoute put) {
            recordChecks.checkRoute(prefix + "putRoute", put.route());
        } else if (change instanceof Change.PutPlan put) {
            recordChecks.checkPlan(prefix + "putPlan", put.plan());
        } else if (change instanceof Change.PutTenant put) {
            recordChecks.checkTenant(prefix + "putTenant", put.tenant());
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
        errors.expect(map.containsKey(key), where, "one that exists, not " + key);
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
        checkCount("services", after.services().size(), ConfigurationLimits.MAX_SERVICES);
        checkCount("routes", after.routes().size(), ConfigurationLimits.MAX_ROUTES);
        checkCount("plans", after.plans().size(), ConfigurationLimits.MAX_PLANS);
        checkCount("tenants", after.tenants().size(), ConfigurationLimits.MAX_TENANTS);
    }

    private void checkCount(String key, int count, int limit) {
        errors.expect(count <= limit, key, "at most " + limit + ", not " + count);
    }

    /** Checks only the references that the changes may have broken. */
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
        errors.expect(
                after.services().containsKey(route.service()),
                prefix + ".service",
                "a service that exists, not " + route.service());
    }

    private void expectPlan(String prefix, TenantRecord tenant, Configuration after) {
        errors.expect(
                after.plans().containsKey(tenant.plan()),
                prefix + ".plan",
                "a plan that exists, not " + tenant.plan());
    }

    private void expectServiceUnused(String key, String service, Configuration after) {
        for (RouteRecord route : after.routes().values()) {
            if (route.service().equals(service)) {
                errors.expect(
                        false, key, "a service that no route uses; " + route.name() + " does");
                return;
            }
        }
    }

    private void expectPlanUnused(String key, String plan, Configuration after) {
        for (TenantRecord tenant : after.tenants().values()) {
            if (tenant.plan().equals(plan)) {
                errors.expect(false, key, "a plan that no tenant uses; " + tenant.id() + " does");
                return;
            }
        }
    }

    private void checkRecords(Configuration configuration) {
        for (ServiceRecord service : configuration.services().values()) {
            recordChecks.checkService("services." + service.name(), service);
        }
        for (PlanRecord plan : configuration.plans().values()) {
            recordChecks.checkPlan("plans." + plan.name(), plan);
        }
        for (RouteRecord route : configuration.routes().values()) {
            String prefix = "routes." + route.name();
            recordChecks.checkRoute(prefix, route);
            expectService(prefix, route, configuration);
        }
        for (TenantRecord tenant : configuration.tenants().values()) {
            String prefix = "tenants." + tenant.id();
            recordChecks.checkTenant(prefix, tenant);
            expectPlan(prefix, tenant, configuration);
        }
    }
}
