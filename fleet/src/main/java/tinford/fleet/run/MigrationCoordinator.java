package tinford.fleet.run;

import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.migration.MigrationEntry;
import tinford.fleet.migration.MigrationPlan;
import tinford.fleet.migration.MigrationRouter;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;
import tinford.fleet.migration.MigrationStep;

/**
 * One process's part in staged moves: where its requests go, what it tells the log, and what it
 * offers while it leads. Called on the I/O thread only, after each applied entry and each tick.
 * Holds {@link #MOST_SERVERS} servers and one command of an operator at most.
 */
final class MigrationCoordinator {
    private static final System.Logger LOG = System.getLogger("tinford.fleet");
    private static final int MOST_SERVERS = 1024;
    private static final double EVERY = 500; // acks and reports
    private static final double OFFERS = 1000;
    private static final double PATIENCE = 10_000;
    private final FleetStateMachine stateMachine;
    private final Incarnation incarnation;
    private final MigrationSettings settings;
    private final Consumer<byte[]> log;
    private final BooleanSupplier left;
    private final HistoryWriter history;
    private final MigrationRouter route;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private double offered = Double.NEGATIVE_INFINITY;
    private MigrationStatus told;
    private double toldUntil = Double.NaN;
    private boolean holds;
    private long ackedTurn = -1;
    private byte[] pending;
    private double pendingUntil;
    private Consumer<String> outcome;

    /**
     * @param left whether this process has left the fleet: from then on it acts on no lease
     */
    MigrationCoordinator(
            FleetStateMachine stateMachine,
            Incarnation incarnation,
            MigrationSettings settings,
            Consumer<byte[]> log,
            BooleanSupplier left,
            HistoryWriter history) {
        this.stateMachine = stateMachine;
        this.incarnation = incarnation;
        this.settings = settings;
        this.log = log;
        this.left = left;
        this.history = history;
        this.route = new MigrationRouter(incarnation, stateMachine.migration.status(), EVERY);
    }

    private Lease lease() {
        return left.getAsBoolean() ? null : stateMachine.leases.of(incarnation);
    }

    /** After each entry, in order; {@code entry} is null after a snapshot. */
    void applied(byte[] entry, double now) {
        route.update(
                stateMachine.migration.status(),
                lease(),
                stateMachine.migration.hasAcknowledged(incarnation));
        if (entry == null || entry.length == 0 || entry[0] == MigrationEntry.MARK) {
            if (pending != null && Arrays.equals(pending, entry)) {
                over(stateMachine.migration.lastOutcome());
            }
        }
        watch(now);
    }

    void tick(double now, boolean leads) {
        route.update(
                stateMachine.migration.status(),
                lease(),
                stateMachine.migration.hasAcknowledged(incarnation));
        watch(now);
        MigrationEntry tells = route.nextEntry(now);
        if (tells != null) {
            log.accept(tells.encode());
        }
        if (pending != null && now >= pendingUntil) {
            over(
                    "not seen in the log within "
                            + Math.round(PATIENCE)
                            + " ms; it may still come: look before ordering again");
        }
        if (leads && now >= offered + OFFERS) {
            offer(now);
        }
    }

    private void offer(double now) {
        MigrationStatus s = stateMachine.migration.status();
        if (s.plan() != null
                && (s.state() == MigrationState.State.FORWARD
                        || s.state() == MigrationState.State.BACK)) {
            offered = now;
            log.accept(
                    MigrationEntry.go(
                                    now,
                                    s.epoch(),
                                    s.stepIndex()
                                            + (s.state() == MigrationState.State.BACK ? -1 : 1),
                                    warm(s.plan(), now))
                            .encode());
        }
    }

    /**
     * Of each group that is gone to, in order of name: the part of it that is warm, by the sizes of
     * its servers, of the units it has room for.
     */
    private double[] warm(MigrationPlan plan, double now) {
        double[] units = new double[plan.groups.size()];
        int at = 0;
        for (Map.Entry<String, MigrationPlan.GroupCapacity> g : plan.groups.entrySet()) {
            double all = 0;
            double warm = 0;
            for (Server s : servers.values()) {
                if (s.group().equals(g.getKey()) && s.state() != Server.State.REMOVED) {
                    all += s.weight();
                    warm +=
                            s.state() == Server.State.UP
                                            && (s.startedAtMs() <= 0
                                                    || now - s.startedAtMs() >= settings.coldTime())
                                    ? s.weight()
                                    : 0;
                }
            }
            units[at++] = all > 0 ? g.getValue().unitsPerSecond() * warm / all : 0;
        }
        return units;
    }

    /**
     * An operator's line: {@code begin}, {@code halt NAME}, {@code resume NAME}, {@code back NAME}.
     * A resume lifts the halt that this gateway's log shows now. Given twice, or at two gateways,
     * the log takes it once.
     *
     * @param then is told what came of it, once
     */
    void command(String line, double now, Consumer<String> then) {
        String[] words = line.strip().split("\\s+", 2);
        String who = words.length > 1 ? words[1] : "";
        boolean named = !who.isEmpty() && who.length() <= 64;
        MigrationEntry e =
                switch (words[0]) {
                    case "begin" ->
                            settings.plan() == null || who.length() > 64
                                    ? null
                                    : MigrationEntry.begin(who, now, settings.plan());
                    case "halt" -> named ? MigrationEntry.halt(who, now) : null;
                    case "resume" ->
                            named
                                    ? MigrationEntry.resume(
                                            who, now, stateMachine.migration.haltCount())
                                    : null;
                    case "back" -> named ? MigrationEntry.back(who, now) : null;
                    default -> null;
                };
        if (e == null || pending != null) {
            String why =
                    pending != null
                            ? "refused, another order is under way here"
                            : words[0].equals("begin")
                                    ? "refused, moves.plan names no plan"
                                    : "refused, expected begin, halt NAME, resume NAME or back"
                                            + " NAME, a name of 1 to 64 characters";
            LOG.log(Level.WARNING, "moves.order: " + why);
            then.accept(why);
            return;
        }
        pending = e.encode();
        pendingUntil = now + PATIENCE;
        outcome =
                what -> {
                    LOG.log(Level.INFO, "moves.order " + line.strip() + ": " + what);
                    history.add(now, "order", "line", line.strip(), "outcome", what);
                    then.accept(what);
                };
        log.accept(pending);
    }

    private void over(String what) {
        Consumer<String> to = outcome;
        pending = null;
        outcome = null;
        to.accept(what);
    }

    boolean mayGo(Request request, Server srv, Server first, double now) {
        if (servers.size() < MOST_SERVERS) {
            servers.putIfAbsent(srv.id, srv);
        } else if (!servers.containsKey(srv.id)) {
            servers.values().removeIf(s -> s.state() == Server.State.REMOVED);
        }
        return !left.getAsBoolean()
                        && route.mayRoute(
                                request.requestClass.name,
                                request.tenant.id,
                                request.markedAsRetry,
                                srv.group(),
                                first == null ? null : first.group(),
                                now)
                || !settings.homes().containsKey(request.requestClass.name);
    }

    boolean goes(Request request, double now) {
        String name = request.requestClass.name;
        MigrationStatus s = stateMachine.migration.status();
        if (!settings.homes().containsKey(name)) {
            return true;
        }
        int at = s.plan() == null ? -1 : s.plan().indexOf(name);
        List<String> groups =
                at < 0
                        ? List.of(s.homeGroups().getOrDefault(name, ""))
                        : List.of(
                                s.plan().frontends.get(at).sourceGroup(),
                                s.plan().frontends.get(at).targetGroup());
        return !left.getAsBoolean()
                && groups.stream()
                        .anyMatch(
                                g ->
                                        route.mayRoute(
                                                name,
                                                request.tenant.id,
                                                request.markedAsRetry,
                                                g,
                                                null,
                                                now));
    }

    /** What was given up says nothing of its server. */
    void ended(Request request, Server srv, AttemptOutcome how, boolean late) {
        if (how != AttemptOutcome.CANCELLED && how != AttemptOutcome.NOT_SENT) {
            route.recordAnswer(
                    request.requestClass.name, srv.group(), how == AttemptOutcome.SUCCESS && !late);
        }
    }

    /**
     * What changed for this process is told in its history, in the order in which it acts on it.
     */
    private void watch(double now) {
        Lease lease = lease();
        boolean has = lease != null && lease.isHeldAt(now);
        double until = has ? lease.expiresAtMs() : 0;
        boolean again = has && !holds;
        if (until != toldUntil) {
            history.add(now, "term", "holds", has, "for", has ? until - now : 0);
            toldUntil = until;
            holds = has;
        }
        MigrationStatus s = stateMachine.migration.status();
        boolean turned =
                told == null
                        || told.epoch() != s.epoch()
                        || told.state() != s.state()
                        || told.plan() != s.plan();
        if (s.plan() != null && (turned || again)) {
            stage(s, turned, now);
        }
        told = s;
        if (s.plan() != null
                && stateMachine.migration.hasAcknowledged(incarnation)
                && ackedTurn != s.epoch()) {
            ackedTurn = s.epoch();
            history.add(
                    now, "acked", "move", s.plan().name, "turn", s.epoch(), "stage", s.stepIndex());
        }
    }

    private void stage(MigrationStatus s, boolean turned, double now) {
        List<String> begun = new ArrayList<>();
        List<String> moved = new ArrayList<>();
        for (int i = 0; i < s.plan().frontends.size(); i++) {
            MigrationPlan.FrontendMigration m = s.plan().frontends.get(i);
            MigrationStep.FrontendShare part = s.currentStep().frontends().get(i);
            if (told == null || told.plan() == null || !told.plan().name.equals(s.plan().name)) {
                history.add(
                        now,
                        "plan",
                        "move",
                        s.plan().name,
                        "frontend",
                        m.name(),
                        "needs",
                        m.dependencies());
            }
            if (part.movingShare() > 0) {
                begun.add(m.name());
            }
            if (part.movedShare() >= 1) {
                moved.add(m.name());
            }
        }
        history.add(
                now,
                "stage",
                "move",
                s.plan().name,
                "stage",
                s.stepIndex(),
                "turn",
                s.epoch(),
                "state",
                s.state().name(),
                "begun",
                begun,
                "moved",
                moved);
        if (turned) {
            LOG.log(
                    Level.INFO,
                    "moves, "
                            + s.plan().name
                            + ": "
                            + s.state()
                            + " at step "
                            + s.stepIndex()
                            + "; "
                            + stateMachine.migration.lastOutcome());
        }
        if (turned
                && (s.state() == MigrationState.State.DONE
                        || s.state() == MigrationState.State.UNDONE)) {
            history.add(
                    now, "moved", "move", s.plan().name, "state", s.state().name(), "moved", moved);
        }
    }
}
