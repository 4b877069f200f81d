package tinford.fleet.run;

import java.util.LinkedHashMap;
import java.util.Map;
import tinford.api.Server;
import tinford.fleet.migration.MigrationPlan;

/** How much of each group's capacity is warm, by the servers that this process knows. */
final class WarmCapacity {
    private static final int MAX_SERVERS = 1024;

    private final double warmUpMs;
    private final Map<String, Server> servers = new LinkedHashMap<>();

    /**
     * @param warmUpMs from a server's start until it counts as warm
     */
    WarmCapacity(double warmUpMs) {
        this.warmUpMs = warmUpMs;
    }

    /** Adds a server; where there are too many, removes those that are gone. */
    void observe(Server server) {
        if (servers.size() < MAX_SERVERS) {
            servers.putIfAbsent(server.id, server);
        } else if (!servers.containsKey(server.id)) {
            servers.values().removeIf(known -> known.state() == Server.State.REMOVED);
        }
    }

    /** For each target group of the plan, by name: its capacity times the warm part of weights. */
    double[] unitsPerSecond(MigrationPlan plan, double nowMs) {
        double[] units = new double[plan.groups.size()];
        int index = 0;
        for (Map.Entry<String, MigrationPlan.GroupCapacity> group : plan.groups.entrySet()) {
            units[index++] = warmUnits(group.getKey(), group.getValue().unitsPerSecond(), nowMs);
        }
        return units;
    }

    private double warmUnits(String group, double unitsPerSecond, double nowMs) {
        double totalWeight = 0;
        double warmWeight = 0;
        for (Server server : servers.values()) {
            if (server.group().equals(group) && server.state() != Server.State.REMOVED) {
                totalWeight += server.weight();
                warmWeight += isWarm(server, nowMs) ? server.weight() : 0;
            }
        }
        return totalWeight > 0 ? unitsPerSecond * warmWeight / totalWeight : 0;
    }

    private boolean isWarm(Server server, double nowMs) {
        return server.state() == Server.State.UP
                && (server.startedAtMs() <= 0 || nowMs - server.startedAtMs() >= warmUpMs);
    }
}
