package tinford.lab.explore;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.migration.LeaseHolders;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationRouter;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;

/**
 * One state of a small fleet that carries out a plan: the log's moves, the gateways, and one
 * request whose mark servers remember. Copied for each thing that may happen next.
 */
final class MigrationModel implements LeaseHolders {
    static final double LEASE = 2;

    /** How long servers remember a mark. */
    static final double WINDOW = 2;

    /** Group numbers: where frontends are, and where they go. */
    static final int OLD_GROUP = 0;

    static final int NEW_GROUP = 1;

    private static final int NOT_SENT = -1;
    private static final double FARTHEST = 9;
    private static final double FARTHEST_ACK = 8;
    private static final double OLDEST_ACK_IN_FLIGHT = -5;
    private static final Map<String, String> HOMES = Map.of("needed", "a", "needing", "a");

    final ExplorationSettings settings;
    final List<MigratingGatewayModel> gateways = new ArrayList<>();
    final MigrationState moves;
    double now = 10;
    int faults;

    /** What became wrong on the way here, or null. */
    String broken;

    /** The group at which the request may have run within the window. */
    private int sentTo = NOT_SENT;

    private double sentAt;

    /** A customer whose part of the needed frontend moves in the last stage. */
    private final long lastCustomer;

    MigrationModel(ExplorationSettings settings) {
        this.settings = settings;
        this.lastCustomer = lastCustomer();
        moves = newMoves();
        moves.apply(1, MigrationEntry.begin("o", now, plan()).encode());
        for (int number = 0; number < settings.gateways; number++) {
            gateways.add(new MigratingGatewayModel(number, moves.status(), clock(number) + LEASE));
        }
    }

    MigrationModel(MigrationModel other) {
        settings = other.settings;
        lastCustomer = other.lastCustomer;
        moves = other.moves.copy(this);
        other.gateways.forEach(gateway -> gateways.add(new MigratingGatewayModel(gateway)));
        now = other.now;
        faults = other.faults;
        sentTo = other.sentTo;
        sentAt = other.sentAt;
    }

    private static long lastCustomer() {
        long customer = 1;
        while (MigrationRouter.tenantFraction(customer, "needed".hashCode()) < 0.5) {
            customer++;
        }
        return customer;
    }

    /** Moves of which nothing is known but where frontends are at first. */
    MigrationState newMoves() {
        return new MigrationState(HOMES, this, settings.clockSkew, settings.rules);
    }

    private MigrationPlan plan() {
        MigrationPlan.FrontendMigration needing =
                new MigrationPlan.FrontendMigration(
                        "needing",
                        "a",
                        "b",
                        settings.needs ? List.of("needed") : List.of(),
                        0,
                        List.of(1.0),
                        1,
                        1,
                        true,
                        settings.retriesTold,
                        WINDOW);
        MigrationPlan.FrontendMigration needed =
                new MigrationPlan.FrontendMigration(
                        "needed",
                        "a",
                        "b",
                        List.of(),
                        0,
                        settings.stages == 2 ? List.of(0.5, 1.0) : List.of(1.0),
                        1,
                        1,
                        false,
                        false,
                        0);
        return new MigrationPlan(
                "p",
                0,
                0.1,
                1,
                List.of(needing, needed),
                Map.of("b", new MigrationPlan.GroupCapacity(2, 2, 0.5)));
    }

    /** The time by the clock of a gateway. */
    double clock(int number) {
        return number == 0 ? now - settings.clockSkew : now;
    }

    double clock(MigratingGatewayModel gateway) {
        return clock(gateway.number);
    }

    @Override
    public Collection<Incarnation> mayHaveActed(double since) {
        List<Incarnation> found = new ArrayList<>();
        for (MigratingGatewayModel gateway : gateways) {
            if (!surelyOver(gateway.incarnation(), gateway.leaseGranted, since)) {
                found.add(gateway.incarnation());
            }
            for (MigratingGatewayModel.EarlierLease lease : gateway.earlier) {
                if (!surelyOver(lease.incarnation(), lease.until(), since)) {
                    found.add(lease.incarnation());
                }
            }
        }
        return found;
    }

    private boolean surelyOver(Incarnation incarnation, double until, double since) {
        return new Lease(incarnation, until, 0)
                .isDefinitelyExpired(since, settings.countedClockSkew);
    }

    MigrationRouter route(MigratingGatewayModel gateway) {
        MigrationRouter route = settings.routes.create(gateway.incarnation(), gateway.view);
        route.update(gateway.view, new Lease(gateway.incarnation(), gateway.leaseSeen, 0), false);
        return route;
    }

    /**
     * One request for a lease at a time; without other entries ahead of it the grant is seen at
     * once, as later it would only be shorter.
     */
    void renew(MigratingGatewayModel gateway) {
        if (gateway.unread.stream().anyMatch(MigratingGatewayModel.LogEvent::isGrant)) {
            return;
        }
        gateway.leaseGranted = clock(gateway) + LEASE;
        if (gateway.unread.isEmpty() && !settings.leaseFromAnswer) {
            gateway.leaseSeen = gateway.leaseGranted;
        } else {
            gateway.unread.add(MigratingGatewayModel.LogEvent.grant(gateway.leaseGranted));
        }
    }

    /** The gateway comes to what is next in the log. */
    void see(MigratingGatewayModel gateway, MigratingGatewayModel.LogEvent event) {
        if (event.isGrant()) {
            gateway.leaseSeen =
                    settings.leaseFromAnswer ? clock(gateway) + LEASE : event.leaseUntil();
        } else {
            gateway.view = event.status();
            gateway.ackSent = MigratingGatewayModel.NEVER;
        }
    }

    /**
     * Applies an entry, lets the gateways have it coming, and looks at what became of the position.
     */
    void apply(MigrationEntry entry) {
        MigrationStatus before = moves.status();
        long halts = moves.haltCount();
        moves.apply(1, entry.encode());
        MigrationStatus after = moves.status();
        if (after.epoch() != before.epoch() || after.stepIndex() != before.stepIndex()) {
            checkChange(before, after);
            gateways.forEach(
                    gateway -> gateway.unread.add(MigratingGatewayModel.LogEvent.of(after)));
        } else if (entry.kind() == MigrationEntry.Kind.RESUME
                && entry.epoch() != halts
                && before.state() != after.state()) {
            broken = "a later halt is lifted by a resume that was meant for an earlier one";
        }
    }

    private void checkChange(MigrationStatus before, MigrationStatus after) {
        int by = after.stepIndex() - before.stepIndex();
        if (Math.abs(by) != 1) {
            broken = "from step " + before.stepIndex() + " to " + after.stepIndex();
        } else if (before.reverting() && by > 0) {
            broken = "goes back, but forward from " + before.stepIndex();
        } else if (before.state() == MigrationState.State.HALTED) {
            broken = "moves while halted";
        }
    }

    boolean sentBefore() {
        return sentTo != NOT_SENT;
    }

    /**
     * The request, or its retry, reaches a group. A repeat within the window does not run, and does
     * not lengthen it.
     */
    void send(int group) {
        if (sentBefore() && sentTo != group) {
            broken = "it may have run at both groups";
        }
        sentAt = sentBefore() ? sentAt : now;
        sentTo = group;
    }

    /** Brings to one form what can make no difference. */
    void normalise() {
        for (MigratingGatewayModel gateway : gateways) {
            boolean acts = clock(gateway) < gateway.leaseSeen;
            if (!acts) {
                gateway.skipStates();
            }
            List<MigratingGatewayModel.LogEvent> unread = gateway.unread;
            if (unread.size() == 1 && !unread.get(0).isGrant() && !acts && !gateway.up) {
                unread.clear(); // a restart begins its own
            }
            if (gateway.view.epoch() != moves.status().epoch()
                    && !settings.rules.isCurrentEpoch(1, 0)) {
                gateway.ackSent = MigratingGatewayModel.NEVER;
            }
            gateway.earlier.removeIf(lease -> now - WINDOW >= lease.until() + settings.clockSkew);
        }
        if (sentBefore() && now - sentAt >= WINDOW) {
            sentTo = NOT_SENT;
        }
    }

    /** Looks at the promises that hold at any time. */
    void check() {
        if (broken != null) {
            return;
        }
        boolean needingMoved = false;
        boolean neededNotMoved = false;
        int least = Integer.MAX_VALUE;
        int most = -1;
        for (MigratingGatewayModel gateway : gateways) {
            MigrationRouter route = route(gateway);
            double clock = clock(gateway);
            if (gateway.up && mayAct(gateway)) {
                least = Math.min(least, gateway.view.stepIndex());
                most = Math.max(most, gateway.view.stepIndex());
                needingMoved |= route.mayRoute("needing", 1, false, "b", null, clock);
                neededNotMoved |= route.mayRoute("needed", lastCustomer, false, "a", null, clock);
            }
        }
        if (most >= 0 && most - least > 1) {
            broken = "two living gateways at steps " + least + " and " + most;
        } else if (needingMoved && neededNotMoved) {
            broken = "one is sent to its new group, what it needs still to the old one elsewhere";
        }
    }

    /** As its routing says. */
    boolean mayAct(MigratingGatewayModel gateway) {
        return route(gateway).hasLease(clock(gateway));
    }

    /** The same for all states that differ in nothing that matters. */
    String form() {
        if (settings.gateways == 2) {
            return form(0, 1);
        }
        String one = form(0, 1, 2);
        String two = form(0, 2, 1);
        return one.compareTo(two) < 0 ? one : two;
    }

    private String form(int... order) {
        StringBuilder form = new StringBuilder(64);
        MigrationStatus status = moves.status();
        form.append((char) ('A' + status.state().ordinal()))
                .append(status.reverting() ? '-' : '+')
                .append((char) status.stepIndex())
                .append((char) (1 + moves.previousStep()))
                .append((char) moves.haltCount())
                .append((char) faults)
                .append((char) (1 + sentTo))
                .append((char) (sentBefore() ? now - sentAt : 0));
        double longestWait = longestWait(status);
        for (int number : order) {
            append(form, gateways.get(number), longestWait);
        }
        return form.toString();
    }

    /** The longest that may be due at this position: acknowledgements that are older are alike. */
    private double longestWait(MigrationStatus status) {
        double back = settings.rules.waitMs(status.plan(), status.stepIndex(), true);
        double forward =
                status.reverting()
                        ? 0
                        : settings.rules.waitMs(status.plan(), status.stepIndex(), false);
        return Math.max(back, forward);
    }

    private void append(StringBuilder form, MigratingGatewayModel gateway, double longestWait) {
        double oldest = -WINDOW - settings.clockSkew;
        form.append(!gateway.up ? 'd' : gateway.cutOff ? 'c' : 'u')
                .append((char) gateway.view.stepIndex())
                .append(gateway.view.epoch() == moves.status().epoch() ? '=' : '<');
        appendTime(form, gateway.leaseSeen - clock(gateway), 0, FARTHEST);
        appendTime(form, gateway.leaseGranted - now, oldest, FARTHEST);
        appendTime(
                form,
                gateway.ackInFlight() ? gateway.ackSent - now : -FARTHEST,
                OLDEST_ACK_IN_FLIGHT,
                0);
        appendAck(form, gateway.incarnation(), longestWait);
        for (MigratingGatewayModel.LogEvent event : gateway.unread) {
            if (event.isGrant()) {
                appendTime(form.append('g'), event.leaseUntil() - clock(gateway), 0, FARTHEST);
            } else {
                form.append('p').append((char) event.status().stepIndex());
            }
        }
        for (MigratingGatewayModel.EarlierLease lease : gateway.earlier) {
            appendTime(form.append('o'), lease.until() - now, oldest, FARTHEST);
            appendAck(form, lease.incarnation(), longestWait);
        }
        form.append('|');
    }

    private void appendAck(StringBuilder form, Incarnation incarnation, double longestWait) {
        Double at = moves.acknowledgements().get(incarnation);
        appendTime(form, at == null ? FARTHEST_ACK : at - now, -longestWait, FARTHEST_ACK);
    }

    private static void appendTime(StringBuilder form, double time, double least, double most) {
        form.append((char) (20 + Math.max(least, Math.min(most, time))));
    }
}
