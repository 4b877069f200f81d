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
 * The view that the decisions see, of those parts of the fleet that are on; what is off bounds
 * nothing.
 */
final class CombinedFleetPolicy extends FleetPolicy {
    private static final int MOST_ACCOUNTS = 20_000;
    private static final int MOST_ASIDE = 2048;
    private final FleetPolicy overload;
    private final ReplicatedState budgets;
    private final MigrationCoordinator mover;
    private final ReplicatedState log;
    private final DoubleSupplier clock;
    private volatile boolean over;
    private final Map<Long, Integer> out = new HashMap<>(); // dispatches, by account
    private final Consumer<Server> tries;
    private final Set<String> aside = new HashSet<>(); // servers that this gateway found ill

    /**
     * @param overload null where it is off; {@code budgets}, {@code mover} likewise; {@code log}
     *     null where neither is on; {@code tries} is told what goes to a server put aside
     */
    CombinedFleetPolicy(
            FleetPolicy overload,
            ReplicatedState budgets,
            MigrationCoordinator mover,
            ReplicatedState log,
            DoubleSupplier clock,
            Consumer<Server> tries) {
        this.overload = overload == null ? new FleetPolicy() : overload;
        this.budgets = budgets;
        this.mover = mover;
        this.log = log;
        this.clock = clock;
        this.tries = tries;
    }

    @Override
    public boolean allowsServer(Request request, Server srv, Server first) {
        return mover == null || mover.mayGo(request, srv, first, clock.getAsDouble());
    }

    @Override
    public boolean isRoutable(Request request) {
        return mover == null || mover.goes(request, clock.getAsDouble());
    }

    @Override
    public int connectionLimit(Server srv) {
        return budgets == null
                ? Integer.MAX_VALUE
                : over ? 0 : budgets.mayHold(srv, clock.getAsDouble());
    }

    /** From any thread: nothing goes to servers any more. */
    void over() {
        over = true;
    }

    @Override
    public int tenantAttemptLimit(Tenant customer) {
        return budgets == null
                ? Integer.MAX_VALUE
                : budgets.mayUse(budgets.key(customer), clock.getAsDouble());
    }

    @Override
    public void requestBlocked(Request request) {
        if (budgets != null) {
            long account = budgets.key(request.tenant);
            budgets.wanted(account, out.getOrDefault(account, 0) + 1);
        }
    }

    @Override
    public void connectionOpened(Server srv) {
        if (log != null) {
            log.opened(srv);
        }
    }

    @Override
    public void connectionClosed(Server srv) {
        if (log != null) {
            log.closed(srv);
        }
    }

    private void count(Request request, int more) {
        if (budgets == null) {
            return;
        }
        long account = budgets.key(request.tenant);
        if (more > 0 && out.size() < MOST_ACCOUNTS) {
            budgets.wanted(account, out.merge(account, more, Integer::sum));
        } else if (more < 0) {
            out.computeIfPresent(account, (k, n) -> n > 1 ? n - 1 : null);
        }
    }

    @Override
    public double admittedShare(double worth) {
        return overload.admittedShare(worth);
    }

    @Override
    public double retryAllowance(double own) {
        return overload.retryAllowance(own);
    }

    @Override
    public boolean ownsProbing(Server srv) {
        return overload.ownsProbing(srv);
    }

    @Override
    public double retryAfterJitterMs() {
        return overload.retryAfterJitterMs();
    }

    @Override
    public void requestOffered(Request request, double worth) {
        overload.requestOffered(request, worth);
    }

    @Override
    public void requestRejected(Request request, double worth) {
        overload.requestRejected(request, worth);
    }

    @Override
    public void attemptSent(Request request, Server srv, double worth, boolean further) {
        count(request, 1);
        if (aside.contains(srv.id)) {
            tries.accept(srv);
        }
        overload.attemptSent(request, srv, worth, further);
    }

    @Override
    public void attemptEnded(Request request, Server srv, AttemptOutcome how, boolean late) {
        count(request, -1);
        overload.attemptEnded(request, srv, how, late);
        if (mover != null) {
            mover.ended(request, srv, how, late);
        }
    }

    @Override
    public void serverHealthChanged(Server srv, boolean ill) {
        if (!ill) {
            aside.remove(srv.id);
        } else if (aside.size() < MOST_ASIDE) {
            aside.add(srv.id);
        }
        overload.serverHealthChanged(srv, ill);
    }
}
