package tinford.fleet.overload;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import tinford.api.Server;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.membership.Membership;

/**
 * Which gateway probes an ejected server. The owner is drawn by rendezvous hashing among the alive
 * gateways, so that the probes of a server do not grow with the fleet. The others leave the server
 * alone until it is reported healthy, or until its owner has been silent for {@link
 * #OWNER_SILENCE_MS}; then they probe at random, together ever more rarely but never less often
 * than every {@link #MAX_PROBE_INTERVAL_MS}. A server that works for this gateway is left alone
 * only when two others report it unhealthy. A false report of health costs one attempt for each
 * gateway, with a wait that doubles. Memory: one note for each of {@link #MAX_SERVERS} servers at
 * most, dropped {@link #FORGET_MS} after the last report. Times are in ms.
 */
public final class ProbeOwners {
    private static final int MAX_SERVERS = 2048;

    /** The longest ejection by a gateway, and the time that records take. */
    private static final double OWNER_SILENCE_MS = 6000;

    /** Time between probes by all gateways that are not the owner, at first. */
    private static final double MIN_PROBE_INTERVAL_MS = 4000;

    private static final double MAX_PROBE_INTERVAL_MS = 30_000;

    /** Gateways return to a server that is reported healthy spread over this time. */
    private static final double RETURN_SPREAD_MS = 300;

    /** How long the own experience of health outweighs reports of others. */
    private static final double OWN_HEALTH_VALID_MS = 2000;

    private static final double FORGET_MS = 120_000;
    private static final double MIN_DISTRUST_MS = 250;
    private static final double MIN_REPORT_GAP_MS = 100;
    private static final double MAX_STEP_MS = 1000;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** What is known of one server, by this gateway and by reports of others. */
    private static final class Note {
        final int serverHash;

        /** As this gateway found it. */
        boolean unhealthy;

        double foundMs = NEVER;

        /** As the others report it. */
        boolean reportedUnhealthy;

        double ownerReportedUnhealthyMs = NEVER;
        double reportedHealthyMs = NEVER;

        /** Last report of the owner, whatever it says. */
        double ownerReportMs = NEVER;

        double touchedMs;

        /** Cached owner, and the update for which it was computed. */
        int owner;

        long ownerUpdate = -1;

        /** When this gateway may return after a report of health. */
        double returnMs;

        /** By how much a report of health must be later than the own finding. */
        double distrustMs = MIN_DISTRUST_MS;

        /** Start of the time in which probes become rarer. */
        double waitingSinceMs;

        /** Progress towards the next probe of a gateway that is not the owner. */
        double waited;

        /** Progress at which that probe is due. */
        double due;

        Note(int serverHash) {
            this.serverHash = serverHash;
        }
    }

    private final Random random;
    private final Map<Integer, Note> notes = new LinkedHashMap<>();
    private Membership membership;
    private Incarnation self;
    private double nowMs;
    private int firstReported;
    private long updates;

    public ProbeOwners(Random random) {
        this.random = random;
    }

    /** Hash by which records name a server. */
    public static int serverHash(Server server) {
        return mix(server.id.hashCode());
    }

    /**
     * The owner among the alive gateways, or -1: the same at all gateways with the same membership.
     * Where a gateway is lost, only its servers change the owner.
     */
    static int ownerAmong(int serverHash, Membership membership) {
        int owner = -1;
        int highest = 0;
        for (int gateway : membership.aliveGateways()) {
            int rank = mix(serverHash * 31 + mix(gateway)) >>> 1;
            if (membership.isAlive(gateway) && (owner < 0 || rank > highest)) {
                owner = gateway;
                highest = rank;
            }
        }
        return owner;
    }

    /** Takes in the present records. */
    public void update(double atMs, Incarnation ownIncarnation, Membership newMembership) {
        double stepMs = Math.max(0, Math.min(atMs - nowMs, MAX_STEP_MS));
        nowMs = atMs;
        self = ownIncarnation;
        membership = newMembership;
        updates++;
        Map<Integer, Integer> unhealthyReports = new LinkedHashMap<>();
        for (GossipRecord record : membership.freshRecords()) {
            if (record.incarnation.gateway() != self.gateway()) {
                takeReports(record, unhealthyReports);
            }
        }
        for (Note note : notes.values()) {
            advance(note, stepMs, unhealthyReports.getOrDefault(note.serverHash, 0));
        }
        notes.values().removeIf(note -> nowMs - note.touchedMs > FORGET_MS);
    }

    private void takeReports(GossipRecord record, Map<Integer, Integer> unhealthyReports) {
        for (GossipRecord.ServerHealth report : record.serverHealth) {
            Note note = noteOf(report.serverHash());
            if (note == null) {
                continue;
            }
            note.touchedMs = nowMs;
            double ageMs = ageMs(report);
            boolean isOwner = ownerOf(note) == record.incarnation.gateway();
            if (isOwner) {
                note.ownerReportMs = Math.max(note.ownerReportMs, nowMs - ageMs);
            }
            if (!report.unhealthy()) {
                takeHealthyReport(note, nowMs - ageMs);
                continue;
            }
            if (ageMs < OWNER_SILENCE_MS) {
                unhealthyReports.merge(note.serverHash, 1, Integer::sum);
            }
            if (isOwner) {
                note.ownerReportedUnhealthyMs =
                        Math.max(note.ownerReportedUnhealthyMs, nowMs - ageMs);
            }
        }
    }

    private static double ageMs(GossipRecord.ServerHealth report) {
        return report.agoMs() >= 0 && report.agoMs() < FORGET_MS ? report.agoMs() : FORGET_MS;
    }

    /** Counts where the server was unhealthy before, and the report is later than that. */
    private void takeHealthyReport(Note note, double reportMs) {
        double unhealthyMs =
                Math.max(note.foundMs + note.distrustMs, note.ownerReportedUnhealthyMs);
        if ((note.unhealthy || note.reportedUnhealthy)
                && reportMs > unhealthyMs
                && reportMs > note.reportedHealthyMs + MIN_REPORT_GAP_MS) {
            note.reportedHealthyMs = reportMs;
            note.returnMs = nowMs + RETURN_SPREAD_MS * random.nextDouble();
        }
    }

    private void advance(Note note, double stepMs, int unhealthyReports) {
        double lastNewsMs = Math.max(note.ownerReportMs, note.foundMs);
        double intervalMs =
                nowMs - lastNewsMs < OWNER_SILENCE_MS
                        ? MAX_PROBE_INTERVAL_MS
                        : Math.max(
                                MIN_PROBE_INTERVAL_MS,
                                Math.min(MAX_PROBE_INTERVAL_MS, (nowMs - note.waitingSinceMs) / 2));
        note.waited += stepMs / intervalMs / membership.aliveCount();
        // once all leave the server alone, only its owner has news of it, so one report is enough
        int needed = note.reportedUnhealthy ? 1 : 2;
        note.reportedUnhealthy =
                unhealthyReports >= needed
                        && note.reportedHealthyMs <= note.ownerReportedUnhealthyMs;
    }

    /**
     * Notes what this gateway found itself. Health matters only where there was another finding or
     * report before.
     */
    public void recordHealth(Server server, boolean unhealthy) {
        int hash = serverHash(server);
        Note note = unhealthy ? noteOf(hash) : notes.get(hash);
        if (note == null) {
            return;
        }
        boolean contradictsReport =
                note.reportedHealthyMs > note.foundMs
                        && nowMs - note.reportedHealthyMs < OWNER_SILENCE_MS;
        if (unhealthy && contradictsReport) {
            note.distrustMs = Math.min(2 * note.distrustMs, MAX_PROBE_INTERVAL_MS);
        }
        if (unhealthy && !note.unhealthy) {
            drawNextProbe(note, nowMs);
        }
        if (!unhealthy) {
            note.distrustMs = MIN_DISTRUST_MS;
        }
        note.unhealthy = unhealthy;
        note.foundMs = nowMs;
        note.touchedMs = nowMs;
    }

    /** Notes an attempt at a server; where it was a due probe, the next one is drawn. */
    public void recordProbe(Server server) {
        Note note = notes.get(serverHash(server));
        if (note != null && note.waited >= note.due) {
            drawNextProbe(note, note.waitingSinceMs);
        }
    }

    /**
     * Whether this gateway may send to a server: it is healthy as far as known, reported healthy
     * again, its own to probe, or due for a rare probe.
     */
    public boolean mayProbe(Server server) {
        Note note = notes.get(serverHash(server));
        if (note == null || membership == null || membership.aliveCount() <= 1) {
            return true;
        }
        return !shouldAvoid(note) || ownerOf(note) == self.gateway() || note.waited >= note.due;
    }

    private boolean shouldAvoid(Note note) {
        if (note.unhealthy) {
            boolean mayReturn = note.reportedHealthyMs > note.foundMs && nowMs >= note.returnMs;
            return !mayReturn;
        }
        return (note.reportedUnhealthy || nowMs < note.returnMs)
                && nowMs - note.foundMs > OWN_HEALTH_VALID_MS;
    }

    /** Writes findings into the own record, in turn where not all of them fit. */
    public void writeTo(GossipRecord ownRecord) {
        List<Note> recent = new ArrayList<>();
        for (Note note : notes.values()) {
            double validMs = note.unhealthy ? FORGET_MS : OWNER_SILENCE_MS;
            if (nowMs - note.foundMs < validMs) {
                recent.add(note);
            }
        }
        int count = Math.min(GossipRecord.MAX_SERVERS, recent.size());
        for (int i = 0; i < count; i++) {
            Note note = recent.get(Math.floorMod(firstReported + i, recent.size()));
            ownRecord.serverHealth.add(
                    new GossipRecord.ServerHealth(
                            note.serverHash, note.unhealthy, nowMs - note.foundMs));
        }
        firstReported =
                recent.size() > GossipRecord.MAX_SERVERS
                        ? firstReported + GossipRecord.MAX_SERVERS
                        : 0;
    }

    /** Computed once an update, as it costs a hash for each gateway. */
    private int ownerOf(Note note) {
        if (note.ownerUpdate != updates) {
            note.owner = ownerAmong(note.serverHash, membership);
            note.ownerUpdate = updates;
        }
        return note.owner;
    }

    /** Exponentially distributed, so that all gateways together probe once an interval. */
    private void drawNextProbe(Note note, double sinceMs) {
        note.waitingSinceMs = sinceMs;
        note.waited = 0;
        note.due = -Math.log(1 - random.nextDouble());
    }

    /** Creates the note where there is none; null where there are too many. */
    private Note noteOf(int serverHash) {
        Note note = notes.get(serverHash);
        if (note != null || notes.size() >= MAX_SERVERS) {
            return note;
        }
        Note created = new Note(serverHash);
        created.touchedMs = nowMs;
        drawNextProbe(created, nowMs);
        notes.put(serverHash, created);
        return created;
    }

    private static int mix(int value) {
        int mixed = (value ^ value >>> 16) * 0x7feb352d;
        mixed = (mixed ^ mixed >>> 15) * 0x846ca68b;
        return mixed ^ mixed >>> 16;
    }
}
