package tinford.fleet.overload;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * One budget of further dispatches for the fleet, kept as accounts: first dispatches feed the own
 * one, further ones draw on it, and what overflows is given to a gateway that saw failures, by a
 * running total in the giver's record. A receiver takes what that total rose by since it last took,
 * so a record that is lost, doubled or old moves nothing twice: all together never send more than
 * the part of first dispatches, whatever each has heard. Without messages each lives on its own
 * even slice. A lying giver makes at most twice a middling gateway's part. Memory: two figures a
 * gateway heard of, {@link #MOST_PEERS} at most.
 */
public final class RetryBudget {
    private static final int MOST_PEERS = 1024;
    // saved up by the whole fleet; by one: many pots of ten would be a flood
    private static final double AT_ONCE = 40, LEAST_AT_ONCE = 2;
    private static final int MOST_FREE = 100; // not used by then, it is forgotten
    private static final double CHOSEN_MS =
            500; // one receiver for so long: its records must get there

    private static final class Account {
        final Incarnation with;
        double total, credit = 1;

        Account(Incarnation with) {
            this.with = with;
        }
    }

    private final double part;
    private final Random chance;
    private final Map<Integer, Account> given = new LinkedHashMap<>(),
            taken = new LinkedHashMap<>();
    private int free;
    private double full = LEAST_AT_ONCE, level, over, chosenAt = Double.NEGATIVE_INFINITY, at = -1;
    private Account to;

    /**
     * @param part of first dispatches that may be sent again, over the fleet
     */
    public RetryBudget(double part, Random chance) {
        this.part = part;
        this.chance = chance;
    }

    public double level() {
        return level;
    }

    /**
     * A further one costs one, or nothing where one before surely never ran: what may have run is
     * bounded all the same.
     */
    public void sent(boolean further) {
        if (!further) add(part, true);
        else if (free > 0) free--;
        else level = Math.max(0, level - 1);
    }

    public void neverRan() {
        free = Math.min(free + 1, MOST_FREE);
    }

    public void round(double now, Incarnation own, Membership membership) {
        double passed = at < 0 ? 0 : Math.max(0, Math.min(now - at, 1000));
        at = now;
        full = Math.max(LEAST_AT_ONCE, AT_ONCE / Math.max(1, membership.fleetSize()));
        level = Math.min(full, level);
        double[] firsts =
                membership.freshRecords().stream()
                        .mapToDouble(s -> FleetTotals.clean(s.firstAttempts))
                        .sorted()
                        .toArray();
        double middling = firsts.length == 0 ? 0 : firsts[firsts.length / 2];
        for (GossipRecord s : membership.freshRecords()) {
            if (s.incarnation.gateway() == own.gateway() || !own.equals(s.retriesCededTo)) continue;
            Account of = account(taken, s.incarnation);
            if (of == null) continue;
            of.credit = Math.min(full, of.credit + 2 * part * middling * passed / 1000);
            double takes =
                    Math.max(0, Math.min(FleetTotals.clean(s.retriesCeded) - of.total, of.credit));
            of.total += takes;
            of.credit -= takes;
            add(takes, false);
        }
        choose(now, own, membership);
        if (to != null) to.total += over;
        over = 0;
    }

    /** Into the own record. */
    public void tell(GossipRecord own) {
        own.retriesCededTo = to == null ? null : to.with;
        own.retriesCeded = to == null ? 0 : to.total;
    }

    /** A later incarnation begins from nought, an earlier one has none any more. */
    private static Account account(Map<Integer, Account> all, Incarnation with) {
        Account is = all.get(with.gateway());
        if (is != null && is.with.start() >= with.start()) return is.with.equals(with) ? is : null;
        if (is == null && all.size() >= MOST_PEERS) return null;
        Account made = new Account(with);
        all.put(with.gateway(), made);
        return made;
    }

    private void add(double amount, boolean gives) {
        level += amount;
        if (gives)
            over += Math.max(0, level - full); // what was given is not given on: it would wander
        level = Math.min(full, level);
    }

    /** By chance, in proportion to the failures that a gateway's own budget does not cover. */
    private void choose(double now, Incarnation own, Membership membership) {
        if (now - chosenAt < CHOSEN_MS) return;
        chosenAt = now;
        Incarnation chosen = null;
        double all = 0;
        for (GossipRecord s : membership.freshRecords()) {
            double need =
                    Math.max(
                            0,
                            FleetTotals.clean(s.failed)
                                    - part * FleetTotals.clean(s.firstAttempts));
            if (s.incarnation.gateway() == own.gateway() || need <= 0) continue;
            need =
                    Math.min(
                            need,
                            100); // guards against a need without bound that takes all there is
            all += need;
            if (chance.nextDouble() * all < need) chosen = s.incarnation;
        }
        to = chosen == null ? null : account(given, chosen);
    }
}
