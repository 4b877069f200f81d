package tinford.fleet.run;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.fleet.budget.StaticShares;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Lease;
import tinford.fleet.membership.LeaseTable;
import tinford.fleet.migration.MigrationState;
import tinford.fleet.migration.MigrationStatus;
import tinford.fleet.store.InMemoryLogs;
import tinford.fleet.store.ReplicatedLog;

/**
 * Three gateways' migration coordinators over logs in memory, on a driven clock. Each step checks
 * that the gateways whose lease holds are at most one epoch apart, and that none sends to a new
 * group what depends on a frontend that another one still sends to the old group.
 */
final class SimulatedMigrationFleet {
    static final String PLAN =
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
    static final String OPERATOR_FILE =
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

    /** Each one depends on the next. */
    private static final List<String> FRONTENDS = List.of("web", "mid", "base");

    private static final double LEASE_MS = 2000;
    private static final double CLOCK_SKEW_MS = 50;
    private static final double LINGER_MS = 6000;
    private static final double STEP_MS = 50;
    private static final int SAMPLED_TENANTS = 8;
    private static final int MAX_STEPS = 4000;

    /** One gateway's process: tasks posted to its I/O thread wait while it is suspended. */
    static final class Gateway {
        final ArrayDeque<Runnable> posted = new ArrayDeque<>();
        Incarnation incarnation;
        FleetStateMachine stateMachine;
        MigrationCoordinator coordinator;
        ReplicatedLog log;
        boolean running;
        boolean suspended;
        double nextRenewalMs;

        MigrationStatus status() {
            return stateMachine.migration.status();
        }

        private boolean hasLease(double nowMs) {
            Lease lease = stateMachine.leases.of(incarnation);
            return running && lease != null && lease.isHeldAt(nowMs);
        }
    }

    final InMemoryLogs logs = new InMemoryLogs(3, 10, 300, 2000, 64, 40, new Random(3));
    final List<Gateway> gateways = List.of(new Gateway(), new Gateway(), new Gateway());
    final List<String> commandOutcomes = new ArrayList<>();
    private final MigrationSettings settings;
    private double nowMs = 1000;

    /** Whether the servers of the new group fail. */
    boolean newGroupFails;

    SimulatedMigrationFleet(MigrationSettings settings) {
        this.settings = settings;
        for (int number = 0; number < gateways.size(); number++) {
            start(number);
        }
    }

    /**
     * @param operatorFile with a place for the path of the plan
     */
    static MigrationSettings settings(String operatorFile, String plan) throws Exception {
        Path planFile = Files.createTempFile("plan", ".toml");
        try {
            Files.writeString(planFile, plan);
            return MigrationSettingsReader.read(
                    "f",
                    OperatorFile.of("f", operatorFile.formatted(planFile)),
                    Map.of(
                            "web",
                            requestClass("web"),
                            "mid",
                            requestClass("mid"),
                            "base",
                            requestClass("base")),
                    0.2,
                    1000);
        } finally {
            Files.delete(planFile);
        }
    }

    private static RequestClass requestClass(String name) {
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

    private FleetStateMachine newStateMachine() {
        return new FleetStateMachine(
                gateways.size(),
                LEASE_MS,
                CLOCK_SKEW_MS,
                LINGER_MS,
                new StaticShares(Map.of(), 16, 0.5, gateways.size()),
                settings.homeGroups());
    }

    /** Starts a new incarnation of a gateway. */
    void start(int number) {
        Gateway gateway = gateways.get(number);
        gateway.posted.clear();
        gateway.incarnation = new Incarnation(number, (long) nowMs);
        gateway.stateMachine = newStateMachine();
        gateway.nextRenewalMs = 0;
        gateway.running = true;
        gateway.log = logs.open(number + 1, replica(gateway));
        try {
            gateway.coordinator =
                    new MigrationCoordinator(
                            gateway.stateMachine,
                            gateway.incarnation,
                            settings,
                            gateway.log::append,
                            () -> false,
                            HistoryWriter.at(null, gateway.incarnation));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ReplicatedLog.StateMachine replica(Gateway gateway) {
        FleetStateMachine onLogThread = newStateMachine();
        return new ReplicatedLog.StateMachine() {
            @Override
            public void apply(long index, byte[] entry) {
                onLogThread.apply(index, entry);
                gateway.posted.add(
                        () -> {
                            gateway.stateMachine.apply(index, entry);
                            gateway.coordinator.applied(entry, nowMs);
                        });
            }

            @Override
            public byte[] snapshot() {
                return onLogThread.snapshot();
            }

            @Override
            public void restore(long index, byte[] snapshot) {
                onLogThread.restore(index, snapshot);
                gateway.posted.add(
                        () -> {
                            gateway.stateMachine.restore(index, snapshot);
                            gateway.coordinator.restored(nowMs);
                        });
            }
        };
    }

    /** Kills a gateway's process. */
    void kill(int number) {
        logs.stop(number + 1);
        gateways.get(number).running = false;
    }

    /** Cuts the links of a gateway's log to both others. */
    void cutOff(int number) {
        logs.cut(number + 1, (number + 1) % 3 + 1);
        logs.cut(number + 1, (number + 2) % 3 + 1);
    }

    /** Gives an operator's command at a gateway. */
    void command(int number, String line) {
        gateways.get(number).coordinator.command(line, nowMs, commandOutcomes::add);
    }

    void step() {
        nowMs += STEP_MS;
        logs.advance(nowMs);
        for (Gateway gateway : gateways) {
            if (gateway.running && !gateway.suspended) {
                step(gateway);
            }
        }
        checkRouting();
    }

    void steps(int count) {
        for (int i = 0; i < count; i++) {
            step();
        }
    }

    private void step(Gateway gateway) {
        for (Runnable task = gateway.posted.poll(); task != null; task = gateway.posted.poll()) {
            task.run();
        }
        if (nowMs >= gateway.nextRenewalMs) {
            gateway.nextRenewalMs = nowMs + LEASE_MS / 3;
            gateway.log.append(LeaseTable.renewalEntry(gateway.incarnation, nowMs, LEASE_MS));
        }
        gateway.coordinator.tick(nowMs, gateway.log.isLeader());
        for (String frontend : FRONTENDS) {
            sendRequest(gateway, frontend, "a");
            sendRequest(gateway, frontend, "b");
        }
    }

    private void sendRequest(Gateway gateway, String frontend, String group) {
        Server server = server(group, group, 1);
        server.updateState(Server.State.UP);
        Request request = request(frontend, (long) (nowMs / STEP_MS));
        boolean allowed = gateway.coordinator.allowsServer(request, server, null, nowMs);
        assertTrue(!allowed || gateway.coordinator.isRoutable(request, nowMs), frontend);
        if (allowed) {
            boolean fails = newGroupFails && group.equals("b");
            gateway.coordinator.attemptEnded(
                    request, server, fails ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS, false);
            gateway.coordinator.attemptEnded(request, server, AttemptOutcome.CANCELLED, true);
        }
    }

    private static Server server(String id, String group, int weight) {
        Server server = new Server(id);
        server.updateAttributes("", 0, group, weight);
        return server;
    }

    private static Request request(String frontend, long tenant) {
        return new Request(1, requestClass(frontend), new Tenant(tenant, null, 1, 0), 0, 1, false);
    }

    /** Whether a gateway sends a tenant's requests to the group now. */
    boolean routes(Gateway gateway, String frontend, long tenant, String group) {
        return gateway.coordinator.allowsServer(
                request(frontend, tenant), server("promise " + group, group, 0), null, nowMs);
    }

    private boolean routesAny(Gateway gateway, String frontend, String group) {
        return LongStream.range(0, SAMPLED_TENANTS)
                .anyMatch(tenant -> routes(gateway, frontend, tenant, group));
    }

    private void checkRouting() {
        List<Gateway> acting =
                gateways.stream().filter(gateway -> gateway.hasLease(nowMs)).toList();
        for (Gateway gateway : acting) {
            for (Gateway other : acting) {
                assertTrue(
                        Math.abs(gateway.status().epoch() - other.status().epoch()) <= 1,
                        nowMs + " " + gateway.incarnation + " " + other.incarnation);
                checkDependencies(gateway, other);
            }
        }
    }

    private void checkDependencies(Gateway gateway, Gateway other) {
        for (int i = 0; i + 1 < FRONTENDS.size(); i++) {
            String frontend = FRONTENDS.get(i);
            String dependency = FRONTENDS.get(i + 1);
            boolean begun = routesAny(gateway, frontend, "b");
            boolean dependencyAtOldGroup = routesAny(other, dependency, "a");
            assertTrue(
                    !begun || !dependencyAtOldGroup,
                    nowMs
                            + ": "
                            + frontend
                            + " has moved at "
                            + gateway.incarnation
                            + ", "
                            + dependency
                            + " not at "
                            + other.incarnation);
        }
    }

    /** Steps until the first gateway sees one of the states. */
    MigrationState.State stepUntil(MigrationState.State... states) {
        for (int i = 0; i < MAX_STEPS; i++) {
            step();
            MigrationState.State state = gateways.get(0).status().state();
            if (List.of(states).contains(state)) {
                return state;
            }
        }
        throw new AssertionError(
                "at " + gateways.get(0).status().stepIndex() + ": " + lastOutcome());
    }

    String lastOutcome() {
        return gateways.get(0).stateMachine.migration.lastOutcome();
    }

    /** The status of the gateway that has applied the latest epoch. */
    MigrationStatus latestStatus() {
        return gateways.stream()
                .map(Gateway::status)
                .max(Comparator.comparingLong(MigrationStatus::epoch))
                .orElseThrow();
    }
}
