package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The gossip record of one gateway: what it saw itself over the last second or so, rates a second.
 * Classes of worth are powers of the square root of two of the worth a unit, so that all gateways
 * have the same ones without agreeing on any.
 */
public final class GossipRecord {
    public static final int PRIORITY_CLASSES = 24;

    /** Worth a unit of class 0 and below; class {@code c} begins at LEAST * 2^(c/2). */
    public static final double MIN_PRIORITY_WEIGHT = 1.0 / 16;

    public static final int MAX_SERVERS = 6;

    /**
     * A server that this gateway put aside, or found well again, so many ms before the record was
     * made; named by a hash of its id.
     */
    public record ServerHealth(int serverHash, boolean unhealthy, double agoMs) {}

    public final Incarnation incarnation;
    public final int sequence;

    /** Units a second inside quotas: asked for, and sent on, by class of worth. */
    public final double[] offeredUnits = new double[PRIORITY_CLASSES];

    public final double[] admittedUnits = new double[PRIORITY_CLASSES];

    /**
     * A second: first dispatches, further ones, and how dispatches ended: by their target, late or
     * without an answer, failed.
     */
    public double firstAttempts;

    public double retries;
    public double onTime;
    public double late;
    public double failed;

    /** Units a second of the answers that came by their target. */
    public double onTimeUnits;

    /** Dispatches out, and requests that wait in its line. */
    public double inFlight;

    public double queued;

    /**
     * Units a second that this gateway believes the servers bear of the whole fleet; 0 where it
     * sees no strain.
     */
    public double capacity;

    /**
     * Which incarnation it lately gave further dispatches of its own budget to (null: none), and
     * how many in all.
     */
    public Incarnation retriesCededTo;

    public double retriesCeded;
    public final List<ServerHealth> serverHealth = new ArrayList<>(MAX_SERVERS);

    public GossipRecord(Incarnation incarnation, int seq) {
        this.incarnation = incarnation;
        this.sequence = seq;
    }

    public static int classOf(double worth) {
        int c =
                (int)
                        Math.floor(
                                2
                                                * Math.log(
                                                        Math.max(worth, MIN_PRIORITY_WEIGHT)
                                                                / MIN_PRIORITY_WEIGHT)
                                                / Math.log(2)
                                        + 1e-9);
        return Math.min(PRIORITY_CLASSES - 1, c);
    }

    /** The least worth a unit of a class. */
    public static double minWeightOf(int c) {
        return MIN_PRIORITY_WEIGHT * Math.pow(2, c / 2.0);
    }

    /**
     * Whether this one replaces the other of the same gateway: of a later incarnation, or of the
     * same one and told later.
     */
    public boolean isNewerThan(GossipRecord other) {
        return other == null
                || incarnation.start() > other.incarnation.start()
                || incarnation.start() == other.incarnation.start()
                        && sequence - other.sequence > 0;
    }
}
