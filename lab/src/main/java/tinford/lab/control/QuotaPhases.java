package tinford.lab.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tinford.fleet.config.PlanRecord;
import tinford.lab.fleet.History;

/**
 * From when which quotas hold in a run whose plans are halved and restored: the halved ones once
 * the last gateway has them in force, the whole ones again from when they are entered.
 */
final class QuotaPhases {
    static final String HALVED = "plans-halved";
    static final String RESTORED = "plans-restored";
    static final double HALF = 0.5;

    /** Whole, halved, whole again. */
    static final int COUNT = 3;

    private final List<QuotaUse.Phase> phases = new ArrayList<>();

    /**
     * @param whole one of the plans; {@code halved} the same while it is halved
     */
    QuotaPhases(List<History.Line> lines, PlanRecord whole, PlanRecord halved) {
        phases.add(new QuotaUse.Phase(Double.NEGATIVE_INFINITY, whole));
        Map<String, Long> revisions = new HashMap<>();
        Set<String> waiting = new HashSet<>();
        Set<String> gateways = new HashSet<>();
        for (History.Line line : lines) {
            String follower = line.text(Events.FOLLOWER);
            String id = line.text(Events.ID);
            long revision = line.fields().path(Events.REVISION).asLong();
            if (line.kind().equals(Events.STARTED) && follower.startsWith("gateway-")) {
                gateways.add(follower);
            } else if (line.kind().equals(Events.ACCEPTED) && id.equals(HALVED)) {
                revisions.put(HALVED, revision);
                waiting.addAll(gateways);
            } else if (line.kind().equals(Events.ENTERED) && id.equals(RESTORED)) {
                phases.add(new QuotaUse.Phase(line.at(), whole));
            } else if (line.kind().equals(Events.APPLIED)
                    && revision >= revisions.getOrDefault(HALVED, Long.MAX_VALUE)
                    && waiting.remove(follower)
                    && waiting.isEmpty()) {
                phases.add(new QuotaUse.Phase(line.at(), halved));
            }
        }
    }

    List<QuotaUse.Phase> all() {
        return phases;
    }
}
