package tinford.fleet.run;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import tinford.api.Customer;
import tinford.api.End;
import tinford.api.Req;
import tinford.api.Srv;
import tinford.api.View;

/**
 * The view that the decisions see, of those parts of the fleet that are on; what is off bounds
 * nothing.
 */
final class FleetView extends View {
    private static final int MOST_ACCOUNTS = 20_000;
    private static final int MOST_ASIDE = 2048;
    private final View overload;
    private final ReplicatedState budgets;
    private final Mover mover;
    private final ReplicatedState log;
    private final DoubleSupplier clock;
    private volatile boolean over;
    private final Map<Long, Integer> out = new HashMap<>(); // dispatches, by account
    private final Consumer<Srv> tries;
    private final Set<String> aside = new HashSet<>(); // servers that this gateway found ill

    /**
     * @param overload null where it is off; {@code budgets}, {@code mover} likewise; {@code log}
     *     null where neither is on; {@code tries} is told what goes to a server put aside
     */
    FleetView(
            View overload,
            ReplicatedState budgets,
            Mover mover,
            ReplicatedState log,
            DoubleSupplier clock,
            Consumer<Srv> tries) {
        this.overload = overload == null ? new View() : overload;
        this.budgets = budgets;
        this.mover = mover;
        this.log = log;
        this.clock = clock;
        this.tries = tries;
    }

    @Override
    public boolean mayGo(Req request, Srv srv, Srv first) {
        return mover == null || mover.mayGo(request, srv, first, clock.getAsDouble());
    }

    @Override
    public boolean goes(Req request) {
        return mover == null || mover.goes(request, clock.getAsDouble());
    }

    @Override
    public int mayHold(Srv srv) {
        return budgets == null
                ? Integer.MAX_VALUE
                : over ? 0 : budgets.mayHold(srv, clock.getAsDouble());
    }

    /** From any thread: nothing goes to servers any more. */
    void over() {
        over = true;
    }

    @Override
    public int mayUse(Customer customer) {
        return budgets == null
                ? Integer.MAX_VALUE
                : budgets.mayUse(budgets.key(customer), clock.getAsDouble());
    }

    @Override
    public void lacked(Req request) {
        if (budgets != null) {
            long account = budgets.key(request.customer);
            budgets.wanted(account, out.getOrDefault(account, 0) + 1);
        }
    }

    @Override
    public void opened(Srv srv) {
        if (log != null) {
            log.opened(srv);
        }
    }

    @Override
    public void closed(Srv srv) {
        if (log != null) {
            log.closed(srv);
        }
    }

    private void count(Req request, int more) {
        if (budgets == null) {
            return;
        }
        long account = budgets.key(request.customer);
        if (more > 0 && out.size() < MOST_ACCOUNTS) {
            budgets.wanted(account, out.merge(account, more, Integer::sum));
        } else if (more < 0) {
            out.computeIfPresent(account, (k, n) -> n > 1 ? n - 1 : null);
        }
    }

    @Override
    public double part(double worth) {
        return overload.part(worth);
    }

    @Override
    public double further(double own) {
        return overload.further(own);
    }

    @Override
    public boolean looksAfter(Srv srv) {
        return overload.looksAfter(srv);
    }

    @Override
    public double spread() {
        return overload.spread();
    }

    @Override
    public void asked(Req request, double worth) {
        overload.asked(request, worth);
    }

    @Override
    public void denied(Req request, double worth) {
        overload.denied(request, worth);
    }

    @Override
    public void sent(Req request, Srv srv, double worth, boolean further) {
        count(request, 1);
        if (aside.contains(srv.id)) {
            tries.accept(srv);
        }
        overload.sent(request, srv, worth, further);
    }

    @Override
    public void ended(Req request, Srv srv, End how, boolean late) {
        count(request, -1);
        overload.ended(request, srv, how, late);
        if (mover != null) {
            mover.ended(request, srv, how, late);
        }
    }

    @Override
    public void ill(Srv srv, boolean ill) {
        if (!ill) {
            aside.remove(srv.id);
        } else if (aside.size() < MOST_ASIDE) {
            aside.add(srv.id);
        }
        overload.ill(srv, ill);
    }
}
