package tinford.fleet.control;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code status}: the revisions of servers and followers, and which of them lag. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Tells which revision holds where, and who lags.")
final class StatusCommand implements Callable<Integer> {
    private static final long POLL_INTERVAL_MS = 200;
    private static final int MAX_LAGGING_SHOWN = 40;

    @Spec private CommandSpec spec;
    @Mixin private ServersOption servers;

    @Option(
            names = "--expect",
            paramLabel = "FOLLOWERS",
            description = "Lags too while fewer followers are known.")
    private int expectedFollowers;

    @Option(
            names = "--revision",
            paramLabel = "N",
            description = "Lags too while this revision is not held by all.")
    private long expectedRevision;

    @Option(
            names = "--wait",
            paramLabel = "MS",
            description = "Asks again for as long while any lag.")
    private long waitMs;

    @Override
    public Integer call() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        FleetStatus status = FleetStatus.fetch(servers.addresses());
        while (exitCode(status) != ExitCode.OK && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            status = FleetStatus.fetch(servers.addresses());
        }
        print(status, spec.commandLine().getOut());
        return exitCode(status);
    }

    private int exitCode(FleetStatus status) {
        if (!status.anyServerReached() || !status.hasLeader()) {
            return ExitCode.UNAVAILABLE;
        }
        boolean inForce =
                status.laggingServers().isEmpty()
                        && status.laggingFollowers().isEmpty()
                        && status.followers().size() >= expectedFollowers
                        && status.revision() >= expectedRevision;
        return inForce ? ExitCode.OK : ExitCode.REJECTED;
    }

    private void print(FleetStatus status, PrintWriter out) {
        out.println("revision " + status.revision());
        status.servers().forEach(server -> out.println(line(server)));
        if (!status.hasLeader()) {
            out.println("no leader: no quorum of voters, or the leader is not among the servers");
        }
        out.println("followers " + status.followers().size() + " " + status.countByRegion());
        status.countByRevision()
                .forEach((revision, count) -> out.println("at " + revision + ": " + count));
        if (status.followers().size() < expectedFollowers) {
            out.println("missing " + (expectedFollowers - status.followers().size()));
        }
        status.laggingFollowers().stream()
                .limit(MAX_LAGGING_SHOWN)
                .forEach(follower -> out.println(line(follower)));
        int more = status.laggingFollowers().size() - MAX_LAGGING_SHOWN;
        if (more > 0) {
            out.println("lagging: " + more + " more");
        }
    }

    private static String line(FleetStatus.Server server) {
        if (server.failure() != null) {
            return String.format(
                    "server %s:%d not reached: %s",
                    server.address().getHostString(), server.address().getPort(), server.failure());
        }
        return String.format(
                "server %s %s %s%s%s revision %d followers %d pending %d bytes",
                server.name(),
                server.region(),
                server.role(),
                server.isLeader() ? " leads" : "",
                logState(server),
                server.revision(),
                server.followers(),
                server.pendingBytes());
    }

    private static String logState(FleetStatus.Server server) {
        if (!server.isLogRunning()) {
            return " log restarting";
        }
        return server.logRestarts() > 0 ? " log restarts " + server.logRestarts() : "";
    }

    private static String line(FleetStatus.Follower follower) {
        return String.format(
                "lagging %s %s revision %d, heard %.1f s ago%s",
                follower.name(),
                follower.region(),
                follower.revision(),
                follower.ageMs() / 1000.0,
                follower.rejectionReason() == null
                        ? ""
                        : ", refused: " + follower.rejectionReason());
    }
}
