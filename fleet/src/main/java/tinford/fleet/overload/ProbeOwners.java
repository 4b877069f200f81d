package tinford.fleet.overload;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import tinford.api.Server;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * Decides which gateway probes an unhealthy server, so that the number of probes does not grow with
 * the number of gateways.
 *
 * <p>Rendezvous hashing over the live gateways assigns one probe owner to each server. The other
 * gateways don't use the server until a peer reports it healthy, except for probes at random times:
 * together about one per {@link #MAX_PROBE_INTERVAL_MS} while the owner reports, and more, at
 * growing intervals, once it has not reported for {@link #OWNER_TIMEOUT_MS}. A server that this
 * gateway found healthy is avoided only if two peers report it unhealthy. A false report of
 * recovery costs one attempt per gateway; the delay after which a gateway accepts the next report
 * doubles each time. Holds at most {@link #MAX_SERVERS} servers, each until {@link #EXPIRY_MS}
 * after its last report. Not thread-safe.
 */
public final class ProbeOwners {
    private static final int MAX_SERVERS = 2048;

    /**
     * An owner that has not reported for this long is no longer waited for. Covers the longest time
     * for which a gateway's decisions eject a server, 4 s, and the delay of gossip records.
     */
    private static final double OWNER_TIMEOUT_MS = 6000;

    /**
     * The shortest interval between probes of all gateways but the owner together. Later intervals
     * are half of the time since the gateway began to wait for its next probe.
     */
    private static final double MIN_PROBE_INTERVAL_MS = 4000;

    private static final double MAX_PROBE_INTERVAL_MS = 30_000;

    /** The gateways resume using a recovered server at random times within this interval. */
    private static final double RETURN_JITTER_MS = 300;

    /**
     * For how long this gateway's own observation that a server is healthy takes precedence over
     * reports of its peers.
     */
    private static final double OWN_OBSERVATION_PRECEDENCE_MS = 2000;

    private static final double EXPIRY_MS = 120_000;

    /** Reports of recovery that are less than this apart count as one. */
    private static final double MIN_RECOVERY_REPORT_GAP_MS = 100;

    /** Longest time since the previous update that an update takes into account. */
    private static final double MAX_STEP_MS = 1000;

    private final Random random;
    private final Map<Integer, ProbedServer> servers = new LinkedHashMap<>();
    private Membership membership;
    private Incarnation self;
    private double nowMs;
    private long updates;

    /** Offset into the servers to report, which rotates if they don't all fit into one record. */
    private int reportOffset;

    public ProbeOwners(Random random) {
        this.random = random;
    }

    /** The hash by which records name a server. */
    public static int hashOf(Server server) {
        return mix(server.id.hashCode());
    }

    /**
     * The live gateway with the highest hash. All gateways with the same membership compute the
     * same owner, and when a gateway is lost, only the servers that it owned get another owner.
     */
    static int owner(int serverHash, Membership membership) {
        int owner = -1;
        int highest = 0;
        for (int gateway : membership.aliveGateways()) {
            int hash = mix(serverHash * 31 + mix(gateway)) >>> 1;
            if (membership.isAlive(gateway) && (owner < 0 || hash > highest)) {
                owner = gateway;
                highest = hash;
            }
        }
        return owner;
    }

    /** Evaluates the peers' fresh records. To be called before the other methods. */
    public void update(double toMs, Incarnation ownIncarnation, Membership current) {
        double stepMs = Math.max(0, Math.min(toMs - nowMs, MAX_STEP_MS));
        nowMs = toMs;
        self = ownIncarnation;
        membership = current;
        updates++;
        Map<Integer, Integer> unhealthyReports = new HashMap<>();
        for (GossipRecord record : current.freshRecords()) {
            int peer = record.incarnation.gateway();
            if (peer == ownIncarnation.gateway()) {
                continue;
            }
            for (GossipRecord.ServerHealth report : record.serverHealth) {
                evaluate(peer, report, unhealthyReports);
            }
        }
        for (ProbedServer server : servers.values()) {
            server.waitedIntervals += stepMs / probeIntervalMs(server) / current.aliveCount();
            int reports = unhealthyReports.getOrDefault(server.serverHash, 0);
            server.reportedUnhealthy = isReportedUnhealthy(server, reports);
        }
        servers.values().removeIf(server -> nowMs - server.updatedAtMs > EXPIRY_MS);
    }

    private void evaluate(
            int peer, GossipRecord.ServerHealth report, Map<Integer, Integer> unhealthyReports) {
        ProbedServer server = getOrAdd(report.serverHash());
        if (server == null) {
            return;
        }
        server.updatedAtMs = nowMs;
        boolean validAge = report.ageMs() >= 0 && report.ageMs() < EXPIRY_MS;
        double ageMs = validAge ? report.ageMs() : EXPIRY_MS;
        double observedAtMs = nowMs - ageMs;
        boolean byOwner = ownerOf(server) == peer;
        if (byOwner) {
            server.ownerReportAtMs = Math.max(server.ownerReportAtMs, observedAtMs);
        }
        if (!report.unhealthy()) {
            evaluateRecovery(server, observedAtMs);
            return;
        }
        if (ageMs < OWNER_TIMEOUT_MS) {
            unhealthyReports.merge(server.serverHash, 1, Integer::sum);
        }
        if (byOwner) {
            server.ownerReportedUnhealthyAtMs =
                    Math.max(server.ownerReportedUnhealthyAtMs, observedAtMs);
        }
    }

    private void evaluateRecovery(ProbedServer server, double observedAtMs) {
        double ignoredUntilMs =
                Math.max(
                        server.ownObservationAtMs + server.recoveryDelayMs,
                        server.ownerReportedUnhealthyAtMs);
        if ((server.unhealthy || server.reportedUnhealthy)
                && observedAtMs > ignoredUntilMs
                && observedAtMs > server.reportedHealthyAtMs + MIN_RECOVERY_REPORT_GAP_MS) {
            server.reportedHealthyAtMs = observedAtMs;
            server.returnAtMs = nowMs + RETURN_JITTER_MS * random.nextDouble();
        }
    }

    /**
     * The interval between probes of all gateways but the owner together: the longest one while the
     * owner reports or this gateway has observed the server itself.
     */
    private double probeIntervalMs(ProbedServer server) {
        double lastObservationAtMs = Math.max(server.ownerReportAtMs, server.ownObservationAtMs);
        if (nowMs - lastObservationAtMs < OWNER_TIMEOUT_MS) {
            return MAX_PROBE_INTERVAL_MS;
        }
        double growing = (nowMs - server.waitStartedAtMs) / 2;
        return Math.max(MIN_PROBE_INTERVAL_MS, Math.min(MAX_PROBE_INTERVAL_MS, growing));
    }

    /**
     * A server becomes reported unhealthy by two reports and remains so by one: once the other
     * gateways avoid it, only its owner still observes it.
     */
    private static boolean isReportedUnhealthy(ProbedServer server, int reports) {
        int needed = server.reportedUnhealthy ? 1 : 2;
        return reports >= needed && server.reportedHealthyAtMs <= server.ownerReportedUnhealthyAtMs;
    }

    /**
     * To be called when this gateway found a server unhealthy or healthy. The latter matters only
     * for servers that some gateway found unhealthy before.
     */
    public void serverHealthChanged(Server target, boolean unhealthy) {
        int hash = hashOf(target);
        ProbedServer server = unhealthy ? getOrAdd(hash) : servers.get(hash);
        if (server == null) {
            return;
        }
        if (unhealthy) {
            extendRecoveryDelay(server);
            if (!server.unhealthy) {
                drawNextProbe(server, nowMs);
            }
        } else {
            server.recoveryDelayMs = ProbedServer.MIN_RECOVERY_DELAY_MS;
        }
        server.unhealthy = unhealthy;
        server.ownObservationAtMs = nowMs;
        server.updatedAtMs = nowMs;
    }

    private void extendRecoveryDelay(ProbedServer server) {
        if (server.reportedHealthyAtMs > server.ownObservationAtMs
                && nowMs - server.reportedHealthyAtMs < OWNER_TIMEOUT_MS) {
            server.recoveryDelayMs = Math.min(2 * server.recoveryDelayMs, MAX_PROBE_INTERVAL_MS);
        }
    }

    /**
     * To be called when an attempt was sent to the server. If a probe was due, the attempt counts
     * as the probe, and the time of the next one is drawn.
     */
    public void attemptSent(Server target) {
        ProbedServer server = servers.get(hashOf(target));
        if (server != null && server.isProbeDue()) {
            drawNextProbe(server, server.waitStartedAtMs);
        }
    }

    /**
     * Whether this gateway may send attempts to the server: the server is healthy or has recovered,
     * this gateway is its owner or has no live peer, or a probe is due.
     */
    public boolean mayProbe(Server target) {
        ProbedServer server = servers.get(hashOf(target));
        if (server == null || membership == null || membership.aliveCount() <= 1) {
            return true;
        }
        return !isAvoided(server) || ownerOf(server) == self.gateway() || server.isProbeDue();
    }

    private boolean isAvoided(ProbedServer server) {
        if (server.unhealthy) {
            boolean recovered = server.reportedHealthyAtMs > server.ownObservationAtMs;
            return !(recovered && nowMs >= server.returnAtMs);
        }
        return (server.reportedUnhealthy || nowMs < server.returnAtMs)
                && nowMs - server.ownObservationAtMs > OWN_OBSERVATION_PRECEDENCE_MS;
    }

    /**
     * Writes this gateway's own observations into its record, in rotation if they don't all fit.
     */
    public void writeTo(GossipRecord record) {
        List<ProbedServer> observed = new ArrayList<>();
        for (ProbedServer server : servers.values()) {
            double reportedForMs = server.unhealthy ? EXPIRY_MS : OWNER_TIMEOUT_MS;
            if (nowMs - server.ownObservationAtMs < reportedForMs) {
                observed.add(server);
            }
        }
        for (int i = 0; i < Math.min(GossipRecord.MAX_SERVERS, observed.size()); i++) {
            ProbedServer server = observed.get(Math.floorMod(reportOffset + i, observed.size()));
            record.serverHealth.add(
                    new GossipRecord.ServerHealth(
                            server.serverHash,
                            server.unhealthy,
                            nowMs - server.ownObservationAtMs));
        }
        boolean allFit = observed.size() <= GossipRecord.MAX_SERVERS;
        reportOffset = allFit ? 0 : reportOffset + GossipRecord.MAX_SERVERS;
    }

    /** Returns the owner, computed once per update because that takes a hash per gateway. */
    private int ownerOf(ProbedServer server) {
        if (server.ownerComputedInUpdate != updates) {
            server.owner = owner(server.serverHash, membership);
            server.ownerComputedInUpdate = updates;
        }
        return server.owner;
    }

    /**
     * Draws an exponentially distributed wait for the next probe. On average each gateway waits as
     * many intervals as there are gateways, so that together they probe once per interval.
     */
    private void drawNextProbe(ProbedServer server, double sinceMs) {
        server.startWait(sinceMs, -Math.log(1 - random.nextDouble()));
    }

    /** Returns null if the server is new and the maximum number of servers is reached. */
    private ProbedServer getOrAdd(int serverHash) {
        ProbedServer existing = servers.get(serverHash);
        if (existing != null || servers.size() >= MAX_SERVERS) {
            return existing;
        }
        ProbedServer server = new ProbedServer(serverHash);
        server.updatedAtMs = nowMs;
        drawNextProbe(server, nowMs);
        servers.put(serverHash, server);
        return server;
    }

    /** Mixes the bits of a hash, so that each input bit affects all output bits. */
    private static int mix(int hash) {
        int mixed = (hash ^ hash >>> 16) * 0x7feb352d;
        mixed = (mixed ^ mixed >>> 15) * 0x846ca68b;
        return mixed ^ mixed >>> 16;
    }
}
