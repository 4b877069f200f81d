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
 * Which gateway probes an unhealthy server, so that the probes don't grow with the number of
 * gateways.
 *
 * <p>Rendezvous hashing over the live gateways chooses one owner per server. The others don't use
 * the server until it is reported healthy, or until its owner has not reported for {@link
 * #OWNER_TIMEOUT_MS}; then they probe at random times, all together at growing intervals of at most
 * {@link #MAX_PROBE_INTERVAL_MS}. A server that works for this gateway is avoided only if two peers
 * report it unhealthy. A wrong report of recovery costs one attempt per gateway, each time after
 * twice the wait. Memory: one entry per server for at most {@link #MAX_SERVERS}, which expires
 * {@link #EXPIRY_MS} after the last report. Not thread-safe.
 */
public final class ProbeOwners {
    private static final int MAX_SERVERS = 2048;

    /** The longest ejection by the decisions, 4 s, and the time that records take. */
    private static final double OWNER_TIMEOUT_MS = 6000;

    /**
     * The first interval between probes of all gateways but the owner together; later ones are half
     * of the time since the server was ejected.
     */
    private static final double MIN_PROBE_INTERVAL_MS = 4000;

    private static final double MAX_PROBE_INTERVAL_MS = 30_000;

    /** The gateways return to a recovered server spread over this time. */
    private static final double RETURN_JITTER_MS = 300;

    /** For how long an own finding that a server is healthy outweighs the reports of peers. */
    private static final double OWN_FINDING_TRUST_MS = 2000;

    private static final double EXPIRY_MS = 120_000;

    /** Reports of recovery within this time count as one. */
    private static final double MIN_RECOVERY_GAP_MS = 100;

    /** Longest time that one update accounts for. */
    private static final double MAX_STEP_MS = 1000;

    private final Random random;
    private final Map<Integer, ProbedServer> servers = new LinkedHashMap<>();
    private Membership membership;
    private Incarnation own;
    private double nowMs;
    private long updates;

    /** Rotates over the servers that don't fit into one record. */
    private int firstReported;

    public ProbeOwners(Random random) {
        this.random = random;
    }

    /** The hash by which records name a server. */
    public static int hashOf(Server server) {
        return mix(server.id.hashCode());
    }

    /**
     * The live gateway with the highest hash: the same for all gateways with the same membership;
     * when a gateway is lost, only its servers get another owner.
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

    /** Evaluates the fresh records of the peers. */
    public void update(double toMs, Incarnation self, Membership current) {
        double stepMs = Math.max(0, Math.min(toMs - nowMs, MAX_STEP_MS));
        nowMs = toMs;
        own = self;
        membership = current;
        updates++;
        Map<Integer, Integer> unhealthyReports = new HashMap<>();
        for (GossipRecord record : current.freshRecords()) {
            int peer = record.incarnation.gateway();
            if (peer == self.gateway()) {
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
        double foundAtMs = nowMs - ageMs;
        boolean byOwner = ownerOf(server) == peer;
        if (byOwner) {
            server.ownerReportAtMs = Math.max(server.ownerReportAtMs, foundAtMs);
        }
        if (!report.unhealthy()) {
            evaluateRecovery(server, foundAtMs);
            return;
        }
        if (ageMs < OWNER_TIMEOUT_MS) {
            unhealthyReports.merge(server.serverHash, 1, Integer::sum);
        }
        if (byOwner) {
            server.ownerReportedUnhealthyAtMs =
                    Math.max(server.ownerReportedUnhealthyAtMs, foundAtMs);
        }
    }

    private void evaluateRecovery(ProbedServer server, double foundAtMs) {
        double unhealthyUntilMs =
                Math.max(
                        server.ownFindingAtMs + server.distrustMs,
                        server.ownerReportedUnhealthyAtMs);
        if ((server.unhealthy || server.reportedUnhealthy)
                && foundAtMs > unhealthyUntilMs
                && foundAtMs > server.reportedHealthyAtMs + MIN_RECOVERY_GAP_MS) {
            server.reportedHealthyAtMs = foundAtMs;
            server.returnAtMs = nowMs + RETURN_JITTER_MS * random.nextDouble();
        }
    }

    /** The interval of all gateways but the owner together: long while the owner reports. */
    private double probeIntervalMs(ProbedServer server) {
        double lastFindingAtMs = Math.max(server.ownerReportAtMs, server.ownFindingAtMs);
        if (nowMs - lastFindingAtMs < OWNER_TIMEOUT_MS) {
            return MAX_PROBE_INTERVAL_MS;
        }
        double growing = (nowMs - server.waitStartedAtMs) / 2;
        return Math.max(MIN_PROBE_INTERVAL_MS, Math.min(MAX_PROBE_INTERVAL_MS, growing));
    }

    /**
     * It takes two reports at first, and one later on: once all others avoid the server, only its
     * owner has findings.
     */
    private static boolean isReportedUnhealthy(ProbedServer server, int reports) {
        int needed = server.reportedUnhealthy ? 1 : 2;
        return reports >= needed && server.reportedHealthyAtMs <= server.ownerReportedUnhealthyAtMs;
    }

    /**
     * This gateway found a server unhealthy or healthy. The latter matters only for servers that
     * were found unhealthy by some gateway.
     */
    public void serverHealthChanged(Server found, boolean unhealthy) {
        int hash = hashOf(found);
        ProbedServer server = unhealthy ? getOrAdd(hash) : servers.get(hash);
        if (server == null) {
            return;
        }
        if (unhealthy) {
            distrustWrongRecovery(server);
            if (!server.unhealthy) {
                drawNextProbe(server, nowMs);
            }
        } else {
            server.distrustMs = ProbedServer.MIN_DISTRUST_MS;
        }
        server.unhealthy = unhealthy;
        server.ownFindingAtMs = nowMs;
        server.updatedAtMs = nowMs;
    }

    private void distrustWrongRecovery(ProbedServer server) {
        if (server.reportedHealthyAtMs > server.ownFindingAtMs
                && nowMs - server.reportedHealthyAtMs < OWNER_TIMEOUT_MS) {
            server.distrustMs = Math.min(2 * server.distrustMs, MAX_PROBE_INTERVAL_MS);
        }
    }

    /** An attempt was sent to the server; if it was a probe, the next one is drawn. */
    public void attemptSent(Server target) {
        ProbedServer server = servers.get(hashOf(target));
        if (server != null && server.isProbeDue()) {
            drawNextProbe(server, server.waitStartedAtMs);
        }
    }

    /**
     * Whether this gateway may send attempts to the server: it is healthy or has recovered, this
     * gateway is its owner, or a probe is due.
     */
    public boolean mayProbe(Server target) {
        ProbedServer server = servers.get(hashOf(target));
        if (server == null || membership == null || membership.aliveCount() <= 1) {
            return true;
        }
        return !isAvoided(server) || ownerOf(server) == own.gateway() || server.isProbeDue();
    }

    private boolean isAvoided(ProbedServer server) {
        if (server.unhealthy) {
            boolean recovered = server.reportedHealthyAtMs > server.ownFindingAtMs;
            return !(recovered && nowMs >= server.returnAtMs);
        }
        return (server.reportedUnhealthy || nowMs < server.returnAtMs)
                && nowMs - server.ownFindingAtMs > OWN_FINDING_TRUST_MS;
    }

    /** Writes the own findings into the own record, in rotation if they don't all fit. */
    public void writeTo(GossipRecord record) {
        List<ProbedServer> found = new ArrayList<>();
        for (ProbedServer server : servers.values()) {
            double reportedForMs = server.unhealthy ? EXPIRY_MS : OWNER_TIMEOUT_MS;
            if (nowMs - server.ownFindingAtMs < reportedForMs) {
                found.add(server);
            }
        }
        for (int i = 0; i < Math.min(GossipRecord.MAX_SERVERS, found.size()); i++) {
            ProbedServer server = found.get(Math.floorMod(firstReported + i, found.size()));
            record.serverHealth.add(
                    new GossipRecord.ServerHealth(
                            server.serverHash, server.unhealthy, nowMs - server.ownFindingAtMs));
        }
        boolean allFit = found.size() <= GossipRecord.MAX_SERVERS;
        firstReported = allFit ? 0 : firstReported + GossipRecord.MAX_SERVERS;
    }

    /** Computed once per update, since it costs a hash per gateway. */
    private int ownerOf(ProbedServer server) {
        if (server.ownerComputedInUpdate != updates) {
            server.owner = owner(server.serverHash, membership);
            server.ownerComputedInUpdate = updates;
        }
        return server.owner;
    }

    /**
     * Exponentially distributed: each gateway waits as many intervals as there are gateways on
     * average, so that all together probe once per interval.
     */
    private void drawNextProbe(ProbedServer server, double sinceMs) {
        server.startWait(sinceMs, -Math.log(1 - random.nextDouble()));
    }

    /** Null if there are too many servers. */
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

    /** Spreads the bits of a hash over all of it. */
    private static int mix(int hash) {
        int mixed = (hash ^ hash >>> 16) * 0x7feb352d;
        mixed = (mixed ^ mixed >>> 15) * 0x846ca68b;
        return mixed ^ mixed >>> 16;
    }
}
