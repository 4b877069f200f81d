package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The gossip record of one gateway: what it observed itself over about the last second, as rates a
 * second. Priority classes are powers of the square root of two of the priority weight a unit, so
 * that all gateways have the same classes without agreeing on any.
 */
public final class GossipRecord {
    public static final int PRIORITY_CLASSES = 24;

    /** Weight of class 0 and below; class {@code c} begins at this times 2^(c/2). */
    public static final double MIN_PRIORITY_WEIGHT = 1.0 / 16;

    public static final int MAX_SERVERS = 6;

    /** Keeps a weight that is the lower bound of a class in it, whatever the rounding. */
    private static final double CLASS_TOLERANCE = 1e-9;

    /**
     * A server that this gateway ejected, or found healthy again.
     *
     * @param serverHash of the server's id
     * @param agoMs before the record was made
     */
    public record ServerHealth(int serverHash, boolean unhealthy, double agoMs) {}

    public final Incarnation incarnation;

    /** Rises with each record of the incarnation, and may wrap around. */
    public final int sequence;

    /** Units a second within quotas, by priority class: offered by clients. */
    public final double[] offeredUnits = new double[PRIORITY_CLASSES];

    /** Units a second within quotas, by priority class: sent to servers. */
    public final double[] admittedUnits = new double[PRIORITY_CLASSES];

    /** First attempts a second. */
    public double firstAttempts;

    /** Retries a second. */
    public double retries;

    /** Attempts a second that were answered within the latency objective. */
    public double onTime;

    /** Attempts a second that were answered late or not at all. */
    public double late;

    /** Attempts a second that failed. */
    public double failed;

    /** Units a second of the answers within the latency objective. */
    public double onTimeUnits;

    /** Attempts in flight. */
    public double inFlight;

    /** Requests in the gateway's admission queue. */
    public double queued;

    /**
     * Estimated capacity of the servers for the whole fleet, units a second; 0 without overload.
     */
    public double capacity;

    /** The incarnation that lately received retries of this gateway's budget; null for none. */
    public Incarnation retriesCededTo;

    /** Retries ceded to that incarnation in total. */
    public double retriesCeded;

    public final List<ServerHealth> serverHealth = new ArrayList<>(MAX_SERVERS);

    public GossipRecord(Incarnation incarnation, int sequence) {
        this.incarnation = incarnation;
        this.sequence = sequence;
    }

    /** The priority class of a weight a unit. */
    public static int classOf(double weight) {
        double octaves =
                Math.log(Math.max(weight, MIN_PRIORITY_WEIGHT) / MIN_PRIORITY_WEIGHT) / Math.log(2);
        return Math.min(PRIORITY_CLASSES - 1, (int) Math.floor(2 * octaves + CLASS_TOLERANCE));
    }

    /** The lowest weight a unit of a priority class. */
    public static double minWeightOf(int priorityClass) {
        return MIN_PRIORITY_WEIGHT * Math.pow(2, priorityClass / 2.0);
    }

    /** Whether this record replaces another one of the same gateway, or null. */
    public boolean isNewerThan(GossipRecord other) {
        return other == null
                || incarnation.start() > other.incarnation.start()
                || incarnation.start() == other.incarnation.start()
                        && sequence - other.sequence > 0;
    }
}
