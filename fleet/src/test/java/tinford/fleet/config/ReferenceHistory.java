package tinford.fleet.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A simple reference model of {@link RevisionHistory}: it stores the full content of every
 * revision, as a map from a key such as {@code "s search"} to a record.
 */
final class ReferenceHistory {
    private final List<Map<String, Object>> revisions = new ArrayList<>(List.of(Map.of()));
    private final Map<String, Proposal> decided = new HashMap<>();
    private final Map<String, Long> outcomes = new HashMap<>();

    /** Returns the new revision, or null if the proposal is rejected. */
    Long propose(Proposal proposal) {
        Proposal before = decided.putIfAbsent(proposal.id(), proposal);
        if (before != null) {
            return before.equals(proposal) ? outcomes.get(proposal.id()) : null;
        }
        Map<String, Object> next = next(proposal);
        if (next == null) {
            return null;
        }
        revisions.add(next);
        outcomes.put(proposal.id(), currentRevision());
        return currentRevision();
    }

    long currentRevision() {
        return revisions.size() - 1;
    }

    Map<String, Object> at(long revision) {
        return revisions.get((int) revision);
    }

    static Map<String, Object> contentOf(Configuration configuration) {
        Map<String, Object> content = new HashMap<>();
        configuration.services().forEach((name, service) -> content.put("s " + name, service));
        configuration.routes().forEach((name, route) -> content.put("r " + name, route));
        configuration.plans().forEach((name, plan) -> content.put("p " + name, plan));
        configuration.tenants().forEach((id, tenant) -> content.put("t " + id, tenant));
        return content;
    }

    private Map<String, Object> next(Proposal proposal) {
        if (proposal instanceof Revert revert) {
            return revert.toRevision() <= currentRevision() ? at(revert.toRevision()) : null;
        }
        ChangeSet set = (ChangeSet) proposal;
        Long expected = set.expectedRevision();
        if (expected != null && expected != currentRevision()) {
            return null;
        }
        Map<String, Object> next = new HashMap<>(at(currentRevision()));
        Set<String> touched = new HashSet<>();
        for (Change change : set.changes()) {
            if (!touched.add(keyOf(change)) || !apply(next, change)) {
                return null;
            }
        }
        return isValid(next) ? next : null;
    }

    private boolean apply(Map<String, Object> content, Change change) {
        if (change instanceof Change.PutService put) {
            content.put(keyOf(change), put.service());
        } else if (change instanceof Change.PutRoute put) {
            content.put(keyOf(change), put.route());
        } else if (change instanceof Change.PutPlan put) {
            content.put(keyOf(change), put.plan());
        } else if (change instanceof Change.PutTenant put) {
            content.put(keyOf(change), put.tenant());
        } else {
            return content.remove(keyOf(change)) != null;
        }
        return true;
    }

    private static boolean isValid(Map<String, Object> content) {
        for (Object each : content.values()) {
            if (each instanceof RouteRecord route && !content.containsKey("s " + route.service())) {
                return false;
            }
            if (each instanceof TenantRecord tenant && !content.containsKey("p " + tenant.plan())) {
                return false;
            }
        }
        return true;
    }

    private static String keyOf(Change change) {
        if (change instanceof Change.PutService put) {
            return "s " + put.service().name();
        } else if (change instanceof Change.RemoveService remove) {
            return "s " + remove.name();
        } else if (change instanceof Change.PutRoute put) {
            return "r " + put.route().name();
        } else if (change instanceof Change.RemoveRoute remove) {
            return "r " + remove.name();
        } else if (change instanceof Change.PutPlan put) {
            return "p " + put.plan().name();
        } else if (change instanceof Change.RemovePlan remove) {
            return "p " + remove.name();
        } else if (change instanceof Change.PutTenant put) {
            return "t " + put.tenant().id();
        } else {
            return "t " + ((Change.RemoveTenant) change).id();
        }
    }
}
