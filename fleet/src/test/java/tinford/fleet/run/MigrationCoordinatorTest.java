package tinford.fleet.run;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;
import tinford.fleet.settings.InvalidOperatorFileException;
import tinford.fleet.store.InMemoryLogs;
import tinford.fleet.store.ReplicatedLog;

/**
 * Three processes' parts over logs in memory, driven; gateways are killed, stopped and cut off in
 * each stage.
 */
public class MigrationCoordinatorTest {
    private static final double LEASE = 2000;
    private static final double APART = 50;
    private static final double LINGER = 6000;
    private static final String PLAN =
            """
            plan = "p"
            soak_ms = 1000
            [bad]
            margin = 0.1
            answers = 50
            [[frontends]]
            name = "web"
            from = "a"
            to = "b"
            needs = ["mid"]
            shares = [0.5, 1.0]
            units = 40.0
            connections = 10
            [[frontends]]
            name = "mid"
            from = "a"
            to = "b"
            needs = ["base"]
            shares = [0.5, 1.0]
            units = 40.0
            connections = 10
            [[frontends]]
            name = "base"
            from = "a"
            to = "b"
            shares = [1.0]
            units = 20.0
            connections = 10
            """;
    private static final String OPERATOR_FILE =
            """
            [log]
            members = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
            folder = "x"
            linger_ms = 6000
            [moves]
            on = true
            plan = "%s"
            homes = ["web=a", "mid=a", "base=a"]
            rooms = ["a=100,100", "b=100,100"]
            """;

    private static RequestClass frontend(String name) {
        return new RequestClass(
                name,
                800,
                2500,
                1,
                0,
                name.equals("mid") ? Idempotency.IDEMPOTENCY_KEY : Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                3000,
                false);
    }

    private static MigrationSettings settings(String text, String plan) throws Exception {
        Path file = Files.createTempFile("plan", ".toml");
        try {
            Files.writeString(file, plan);
            return MigrationSettings.of(
                    "f",
                    OperatorFile.of("f", text.formatted(file)),
                    Map.of(
                            "web",
                            frontend("web"),
                            "mid",
                            frontend("mid"),
                            "base",
                            frontend("base")),
                    0.2,
                    1000);
        } finally {
            Files.delete(file);
        }
    }

    /** One gateway's process: what is posted to its I/O thread waits while it stands still. */
    private static final class Seat {
        final ArrayDeque<Runnable> posted = new ArrayDeque<>();
        Incarnation incarnation;
        FleetStateMachine stateMachine;
        MigrationCoordinator mover;
        ReplicatedLog log;
        boolean up;
        boolean still;
        double renews;
    }

    private static final class Fleet {
        final InMemoryLogs logs = new InMemoryLogs(3, 10, 300, 2000, 64, 40, new Random(3));
        final List<Seat> seats = List.of(new Seat(), new Seat(), new Seat());
        final MigrationSettings settings;
        final List<String> told = new ArrayList<>();
        double now = 1000;
        boolean bad;

        Fleet(MigrationSettings settings) {
            this.settings = settings;
            for (int g = 0; g < 3; g++) {
                start(g);
            }
        }

        private FleetStateMachine stateMachine() {
            return new FleetStateMachine(
                    3,
                    LEASE,
                    APART,
                    LINGER,
                    new StaticShares(Map.of(), 16, 0.5, 3),
                    settings.homes());
        }

        void start(int g) {
            Seat s = seats.get(g);
            s.posted.clear();
            s.incarnation = new Incarnation(g, (long) now);
            s.stateMachine = stateMachine();
            s.renews = 0;
            s.up = true;
            FleetStateMachine snapshotSource = stateMachine();
            s.log =
                    logs.open(
                            g + 1,
                            new ReplicatedLog.StateMachine() {
                                @Override
                                public void apply(long index, byte[] entry) {
                                    snapshotSource.apply(index, entry);
                                    s.posted.add(
                                            () -> {
                                                s.stateMachine.apply(index, entry);
                                                s.mover.applied(entry, now);
                                            });
                                }

                                @Override
                                public byte[] snapshot() {
                                    return snapshotSource.snapshot();
                                }

                                @Override
                                public void restore(long index, byte[] snapshot) {
                                    snapshotSource.restore(index, snapshot);
                                    s.posted.add(
                                            () -> {
                                                s.stateMachine.restore(index, snapshot);
                                                s.mover.applied(null, now);
                                            });
                                }
                            });
            try {
                s.mover =
                        new MigrationCoordinator(
                                s.stateMachine,
                                s.incarnation,
                                settings,
                                s.log::append,
                                () -> false,
                                HistoryWriter.at(null, s.incarnation));
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        void step() {
            now += 50;
            logs.advance(now);
            for (Seat s : seats) {
                if (!s.up || s.still) {
                    continue;
                }
                for (Runnable r = s.posted.poll(); r != null; r = s.posted.poll()) {
                    r.run();
                }
                if (now >= s.renews) {
                    s.renews = now + LEASE / 3;
                    s.log.append(LeaseTable.renew(s.incarnation, now, LEASE));
                }
                s.mover.tick(now, s.log.isLeader());
                load(s);
            }
            promise();
        }

        private void load(Seat s) {
            for (String f : List.of("web", "mid", "base")) {
                for (String group : List.of("a", "b")) {
                    Server srv = new Server(group);
                    srv.updateAttributes("", 0, group, 1);
                    srv.updateState(Server.State.UP);
                    Request request =
                            new Request(
                                    1,
                                    frontend(f),
                                    new Tenant((long) (now / 50), null, 1, 0),
                                    0,
                                    1,
                                    false);
                    boolean goes = s.mover.mayGo(request, srv, null, now);
                    assertTrue(!goes || s.mover.goes(request, now), f);
                    if (goes) {
                        s.mover.ended(
                                request,
                                srv,
                                bad && group.equals("b")
                                        ? AttemptOutcome.ERROR
                                        : AttemptOutcome.SUCCESS,
                                false);
                        s.mover.ended(request, srv, AttemptOutcome.CANCELLED, true);
                    }
                }
            }
        }

        private boolean goes(Seat s, String frontend, long customer, String group) {
            Server srv = new Server("promise " + group);
            srv.updateAttributes("", 0, group, 0);
            return s.mover.mayGo(
                    new Request(
                            1, frontend(frontend), new Tenant(customer, null, 1, 0), 0, 1, false),
                    srv,
                    null,
                    now);
        }

        /**
         * Of those whose lease holds now: one stage apart at most, and nobody goes where what it
         * needs is not wholly at any of them.
         */
        private void promise() {
            List<Seat> acting =
                    seats.stream()
                            .filter(
                                    s ->
                                            s.up
                                                    && s.stateMachine.leases.of(s.incarnation)
                                                            != null
                                                    && s.stateMachine
                                                            .leases
                                                            .of(s.incarnation)
                                                            .holds(now))
                            .toList();
            String[] chain = {"web", "mid", "base"};
            for (Seat s : acting) {
                for (Seat o : acting) {
                    assertTrue(
                            Math.abs(
                                            s.stateMachine.moves.status().turn()
                                                    - o.stateMachine.moves.status().turn())
                                    <= 1,
                            now + " " + s.incarnation + " " + o.incarnation);
                    for (int f = 0; f < 2; f++) {
                        int of = f;
                        boolean begun =
                                java.util.stream.LongStream.range(0, 8)
                                        .anyMatch(c -> goes(s, chain[of], c, "b"));
                        boolean old =
                                java.util.stream.LongStream.range(0, 8)
                                        .anyMatch(c -> goes(o, chain[of + 1], c, "a"));
                        assertTrue(
                                !begun || !old,
                                now
                                        + ": "
                                        + chain[f]
                                        + " has moved at "
                                        + s.incarnation
                                        + ", "
                                        + chain[f + 1]
                                        + " not at "
                                        + o.incarnation);
                    }
                }
            }
        }

        MigrationState.State until(MigrationState.State... ends) {
            for (int i = 0; i < 4000; i++) {
                step();
                MigrationState.State state = seats.get(0).stateMachine.moves.status().state();
                if (List.of(ends).contains(state)) {
                    return state;
                }
            }
            throw new AssertionError(
                    "at "
                            + seats.get(0).stateMachine.moves.status().position()
                            + ": "
                            + seats.get(0).stateMachine.moves.told());
        }

        /** As whoever is farthest sees it. */
        MigrationStatus head() {
            return seats.stream()
                    .map(s -> s.stateMachine.moves.status())
                    .max(java.util.Comparator.comparingLong(MigrationStatus::turn))
                    .orElseThrow();
        }

        int position() {
            return head().position();
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {{"none"}, {"kill"}, {"still"}, {"cut"}};
    }

    /**
     * Two operators begin at once at two gateways; in each step one gateway fails; the move ends
     * whole. A bad group turns it back.
     */
    @Test(dataProvider = "faults")
    public void aMoveEnds(String fault) throws Exception {
        Fleet f = new Fleet(settings(OPERATOR_FILE, PLAN));
        for (int i = 0; i < 40; i++) {
            f.step();
        }
        f.seats.get(0).mover.command("begin one", f.now, f.told::add);
        f.seats.get(1).mover.command("begin two", f.now, f.told::add);
        f.seats.get(1).mover.command("what", f.now, f.told::add);
        for (int i = 0; i < 20; i++) {
            f.step();
        }
        int steps = -1;
        for (int i = 0; i < 6000 && f.head().state() != MigrationState.State.DONE; i++) {
            f.step();
            Seat victim = f.seats.get(f.position() % 3);
            int g = victim.incarnation.gateway();
            if (f.position() != steps && !fault.equals("none")) {
                steps = f.position();
                switch (fault) {
                    case "kill" -> {
                        f.logs.stop(g + 1);
                        victim.up = false;
                    }
                    case "still" -> victim.still = true;
                    default -> {
                        f.logs.cut(g + 1, (g + 1) % 3 + 1);
                        f.logs.cut(g + 1, (g + 2) % 3 + 1);
                    }
                }
                for (int k = 0; k < 30 + 10 * (steps % 4); k++) { // some past the lease, some not
                    f.step();
                }
                if (fault.equals("kill")) {
                    f.start(g);
                }
                victim.still = false;
                f.logs.heal();
            }
        }
        assertEquals(
                f.head().state(),
                MigrationState.State.DONE,
                f.seats.get(0).stateMachine.moves.told());
        assertEquals(
                f.told.stream().filter(t -> t.contains("begun")).count(), 1, f.told.toString());
        assertEquals(
                f.told.stream().filter(t -> t.contains("refused")).count(), 2, f.told.toString());
        for (int i = 0; i < 100; i++) {
            f.step();
        }
        assertTrue(f.goes(f.seats.get(2), "web", 5, "b") && !f.goes(f.seats.get(2), "web", 5, "a"));
        f.seats.get(2).mover.command("back three", f.now, f.told::add);
        f.until(MigrationState.State.UNDONE);
        f.bad = true;
        f.seats.get(1).mover.command("begin four", f.now, f.told::add);
        f.until(MigrationState.State.FORWARD);
        assertEquals(
                f.until(MigrationState.State.DONE, MigrationState.State.UNDONE),
                MigrationState.State.UNDONE);
        assertTrue(f.goes(f.seats.get(0), "base", 5, "a"));
    }

    @DataProvider
    public Object[][] bad() {
        return new Object[][] {
            {OPERATOR_FILE.replace("web=a", "wub=a"), PLAN, "moves.homes: expected"},
            {OPERATOR_FILE.replace("a=100,100", "a=much"), PLAN, "moves.rooms: expected"},
            {
                OPERATOR_FILE.replace("linger_ms = 6000", "linger_ms = 5000"),
                PLAN,
                "log.linger_ms: expected 5500"
            },
            {OPERATOR_FILE.replaceAll("homes.*", ""), PLAN, "moves.homes: expected one"},
            {OPERATOR_FILE, PLAN.replace("soak_ms = 1000", "soak_ms = -1"), "soak_ms"},
            {OPERATOR_FILE, "plan = ", "TOML"},
            {OPERATOR_FILE.replace("%s", "nowhere"), PLAN, "moves.plan: expected a file"},
        };
    }

    @Test(dataProvider = "bad")
    public void badSettingsAreTold(String operatorFile, String plan, String told) throws Exception {
        String said = "";
        try {
            settings(operatorFile, plan);
        } catch (InvalidOperatorFileException e) {
            said = e.getMessage();
        }
        assertTrue(said.contains(told), said);
    }
}
