package tinford.fleet.run;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import tinford.api.AttemptOutcome;
import tinford.api.FleetPolicy;
import tinford.api.Request;
import tinford.api.Server;
import tinford.api.Tenant;

/**
 * The fleet policy of those parts of the fleet that are on: overload, budgets and migration. A part
 * that is off limits nothing. Called on the I/O thread.
 */
final class CombinedFleetPolicy extends FleetPolicy {
    private static final int MAX_ACCOUNTS = 20_000;
    private static final int MAX_UNHEALTHY_SERVERS = 2048;

    private final FleetPolicy overload;
    private final BudgetCoordinator budgets;
    private final BudgetCoordinator connections;
    private final MigrationCoordinator migration;
    private final DoubleSupplier clock;
    private final Consumer<Server> probeListener;
    private final Map<Long, Integer> attemptsInFlight = new HashMap<>();
    private final Set<String> unhealthyServers = new HashSet<>();
    private volatile boolean ended;

    /**
     * @param overload null where it is off
     * @param budgets whose limits apply; null where they are off
     * @param connections which counts open connections; null where budgets and migration are off
     * @param migration null where it is off
     * @param clock this machine's wall clock, ms
     * @param probeListener receives each unhealthy server that an attempt is sent to
     */
    CombinedFleetPolicy(
            FleetPolicy overload,
            BudgetCoordinator budgets,
            BudgetCoordinator connections,
            MigrationCoordinator migration,
            DoubleSupplier clock,
            Consumer<Server> probeListener) {
        this.overload = overload == null ? new FleetPolicy() : overload;
        this.budgets = budgets;
        this.connections = connections;
        this.migration = migration;
        this.clock = clock;
        this.probeListener = probeListener;
    }

    /** Ends the use of servers, from any thread. */
    void end() {
        ended = true;
    }

    @Override
    public boolean allowsServer(Request request, Server server, Server earlierServer) {
        return migration == null
                || migration.allowsServer(request, server, earlierServer, clock.getAsDouble());
    }

    @Override
    public boolean isRoutable(Request request) {
        return migration == null || migration.isRoutable(request, clock.getAsDouble());
    }

    @Override
    public int connectionLimit(Server server) {
        if (budgets == null) {
            return Integer.MAX_VALUE;
        }
        return ended ? 0 : budgets.connectionLimit(server, clock.getAsDouble());
    }

    @Override
    public int tenantAttemptLimit(Tenant tenant) {
        return budgets == null
                ? Integer.MAX_VALUE
                : budgets.attemptLimit(budgets.account(tenant), clock.getAsDouble());
    }

    @Override
    public void requestBlocked(Request request) {
        if (budgets != null) {
            long account = budgets.account(request.tenant);
            budgets.reportDemand(account, attemptsInFlight.getOrDefault(account, 0) + 1);
        }
    }

    @Override
    public void connectionOpened(Server server) {
        if (connections != null) {
            connections.connectionOpened(server);
        }
    }

    @Override
    public void connectionClosed(Server server) {
        if (connections != null) {
            connections.connectionClosed(server);
        }
    }

    @Override
    public double admittedShare(double weight) {
        return overload.admittedShare(weight);
    }

    @Override
    public double retryAllowance(double ownBudget) {
        return overload.retryAllowance(ownBudget);
    }

    @Override
    public boolean ownsProbing(Server server) {
        return overload.ownsProbing(server);
    }

    @Override
    public double retryAfterJitterMs() {
        return overload.retryAfterJitterMs();
    }

    @Override
    public void requestOffered(Request request, double weight) {
        overload.requestOffered(request, weight);
    }

    @Override
    public void requestRejected(Request request, double weight) {
        overload.requestRejected(request, weight);
    }

    @Override
    public void attemptSent(Request request, Server server, double weight, boolean retry) {
        countAttempt(request);
        if (unhealthyServers.contains(server.id)) {
            probeListener.accept(server);
        }
        overload.attemptSent(request, server, weight, retry);
    }

    private void countAttempt(Request request) {
        if (budgets != null && attemptsInFlight.size() < MAX_ACCOUNTS) {
            long account = budgets.account(request.tenant);
            budgets.reportDemand(account, attemptsInFlight.merge(account, 1, Integer::sum));
        }
    }

    @Override
    public void attemptEnded(Request request, Server server, AttemptOutcome outcome, boolean late) {
        uncountAttempt(request);
        overload.attemptEnded(request, server, outcome, late);
        if (migration != null) {
            migration.attemptEnded(request, server, outcome, late);
        }
    }

    private void uncountAttempt(Request request) {
        if (budgets != null) {
            attemptsInFlight.computeIfPresent(
                    budgets.account(request.tenant),
                    (account, attempts) -> attempts > 1 ? attempts - 1 : null);
        }
    }

    @Override
    public void serverHealthChanged(Server server, boolean unhealthy) {
        if (!unhealthy) {
            unhealthyServers.remove(server.id);
        } else if (unhealthyServers.size() < MAX_UNHEALTHY_SERVERS) {
            unhealthyServers.add(server.id);
        }
        overload.serverHealthChanged(server, unhealthy);
    }
}
