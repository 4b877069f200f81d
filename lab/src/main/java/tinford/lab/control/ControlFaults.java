package tinford.lab.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.fleet.config.Change;
import tinford.fleet.config.ChangeSet;
import tinford.fleet.config.RouteRecord;
import tinford.fleet.config.ServiceRecord;

/** What goes wrong in a scenario, and when. */
final class ControlFaults implements AutoCloseable {
    /** The service and the route that one follower can't apply. */
    private static final String REFUSED = "refused";

    private static final int RESTARTED_PART = 10; // one follower in so many: 53 of 530
    private static final int STALLED = 20;
    private static final int REFUSING_FOLLOWER = 0;

    private final ControlRun run;
    private final ControlServers servers;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final List<ScheduledFuture<?>> scheduled = new ArrayList<>();
    private final List<StalledFollowers> stalled = new ArrayList<>();
    private int chosen = -1;

    /** What may fail. */
    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    ControlFaults(ControlRun run) {
        this.run = run;
        this.servers = run.servers();
    }

    void schedule() {
        switch (run.scenario()) {
            case CALM -> planChanges();
            case BURST -> {}
            case SERVER_KILLED -> serverKilled();
            case LEADER_PAUSED -> leaderPaused();
            case REGIONS_CUT -> regionsCut();
            case RESTART_WITH_DISK -> restart(true);
            case RESTART_WITHOUT_DISK -> restart(false);
            case FOLLOWER_STALLED -> followerStalled();
            case CHANGE_REFUSED -> changeRefused();
            default -> throw new IllegalStateException(run.scenario().label());
        }
    }

    /** Waits until all has happened. */
    void await() throws IOException, InterruptedException {
        for (ScheduledFuture<?> each : scheduled) {
            try {
                each.get();
            } catch (ExecutionException e) {
                throw new IOException("a fault could not be played", e.getCause());
            }
        }
    }

    private void at(double seconds, String what, Step step) {
        double wait =
                run.began() + seconds * 1000 * run.options().lengthFactor() - ControlRun.now();
        scheduled.add(
                timer.schedule(
                        () -> {
                            run.history().tell(Events.FAULT, Events.WHAT, what);
                            step.run();
                            return null;
                        },
                        (long) Math.max(0, wait),
                        TimeUnit.MILLISECONDS));
    }

    /** Half of the quotas and of the ceilings for a while. */
    private void planChanges() {
        if (run.load() != null) {
            at(70, "the plans allow half", () -> enterPlans(QuotaPhases.HALVED, QuotaPhases.HALF));
            at(140, "the plans allow all again", () -> enterPlans(QuotaPhases.RESTORED, 1));
        }
    }

    private void enterPlans(String id, double factor) throws IOException, InterruptedException {
        List<Change> changes = new ArrayList<>();
        run.load().plansWithCeiling(factor).forEach(plan -> changes.add(new Change.PutPlan(plan)));
        run.enter(new ChangeSet(id, null, changes));
    }

    private void serverKilled() {
        at(
                12,
                "a voter is killed",
                () -> {
                    chosen = eastVoterOtherThan(servers.leader());
                    servers.kill(chosen);
                });
        at(35, "the voter starts again", () -> servers.start(chosen));
    }

    private int eastVoterOtherThan(int leader) {
        return servers.all().stream()
                .filter(s -> s.voter() && s.region().equals(Regions.EAST))
                .mapToInt(ControlServers.Server::number)
                .filter(number -> number != leader)
                .findFirst()
                .orElseThrow();
    }

    private void leaderPaused() {
        at(
                12,
                "the leader stands still",
                () -> {
                    chosen = servers.leader();
                    servers.pause(chosen, true);
                });
        at(32, "the former leader goes on", () -> servers.pause(chosen, false));
    }

    private void regionsCut() {
        at(
                10,
                "the regions are cut",
                () -> {
                    servers.cutRegions(true);
                    run.history().tell(Events.CUT, Events.REGION, Regions.WEST);
                });
        at(
                70,
                "the regions are joined",
                () -> {
                    run.history().tell(Events.JOINED, Events.REGION, Regions.WEST);
                    servers.cutRegions(false);
                });
    }

    private void restart(boolean diskKept) {
        HollowProcess process = run.hollow().get(0);
        int most = Math.max(1, run.options().size().followers() / RESTARTED_PART);
        int count = Math.min(process.size(), most);
        at(10, count + " followers stop", () -> process.stopFirst(count));
        at(15, count + " followers start again", () -> process.startFirst(count, diskKept));
    }

    private void followerStalled() {
        at(
                10,
                STALLED + " followers stall",
                () -> stalled.add(new StalledFollowers(servers.all().get(0), STALLED)));
    }

    private void changeRefused() {
        HollowProcess process = run.hollow().get(0);
        at(5, "a follower can't apply a route", () -> process.refuse(REFUSING_FOLLOWER, REFUSED));
        at(
                12,
                "the route is entered",
                () -> {
                    run.enter(
                            REFUSED + "-service",
                            new Change.PutService(new ServiceRecord(REFUSED)));
                    run.enter(REFUSED + "-route", new Change.PutRoute(refusedRoute()));
                });
        at(
                30,
                "the route is removed",
                () -> run.enter(REFUSED + "-removed", new Change.RemoveRoute(REFUSED)));
    }

    private static RouteRecord refusedRoute() {
        return new RouteRecord(
                REFUSED,
                REFUSED,
                500,
                2_000,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false);
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        for (StalledFollowers each : stalled) {
            each.close();
        }
    }
}
