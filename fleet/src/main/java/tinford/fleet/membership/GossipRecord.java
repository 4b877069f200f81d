package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The gossip record of one gateway: what the gateway itself observed over about the last second, as
 * rates per second. Work is grouped into priority classes by the priority weight of a unit. The
 * lower bounds of the classes are a factor of the square root of two apart, so that all gateways
 * use the same classes without having to agree on them.
 */
public final class GossipRecord {
    public static final int PRIORITY_CLASSES = 24;

    /**
     * Lower bound of class 0, which also takes all lower weights. The lower bound of class {@code
     * c} is this times 2^(c/2).
     */
    public static final double MIN_PRIORITY_WEIGHT = 1.0 / 16;

    public static final int MAX_SERVERS = 6;

    /** Ensures that rounding does not put a class's lower bound into the class below. */
    private static final double CLASS_TOLERANCE = 1e-9;

    /**
     * A server that this gateway ejected or found healthy again.
     *
     * @param serverHash hash of the server's id
     * @param unhealthy whether the server was ejected
     * @param ageMs time from that event to the creation of the record
     */
    public record ServerHealth(int serverHash, boolean unhealthy, double ageMs) {}

    public final Incarnation incarnation;

    /** Increases with each record of the incarnation and may wrap around. */
    public final int sequence;

    /** Units per second within quotas that clients requested, by priority class. */
    public final double[] offeredUnits = new double[PRIORITY_CLASSES];

    /** Units per second within quotas that were sent to servers, by priority class. */
    public final double[] admittedUnits = new double[PRIORITY_CLASSES];

    /** First attempts per second. */
    public double firstAttempts;

    /** Retries per second. */
    public double retries;

    /** Attempts per second that were answered within the latency objective. */
    public double onTime;

    /** Attempts per second that were answered late or not at all. */
    public double late;

    /** Attempts per second that failed. */
    public double failed;

    /** Units per second of the attempts answered within the latency objective. */
    public double onTimeUnits;

    /** Attempts in flight. */
    public double inFlight;

    /** Requests in the gateway's admission queue. */
    public double queued;

    /**
     * Estimated capacity of the servers for the whole fleet, in units per second; 0 if they are not
     * overloaded.
     */
    public double capacity;

    /**
     * The incarnation to which this gateway most recently ceded part of its retry budget; null for
     * none.
     */
    public Incarnation retriesCededTo;

    /** Total number of retries ceded to that incarnation. */
    public double retriesCeded;

    public final List<ServerHealth> serverHealth = new ArrayList<>(MAX_SERVERS);

    public GossipRecord(Incarnation incarnation, int sequence) {
        this.incarnation = incarnation;
        this.sequence = sequence;
    }

    /** The priority class for a weight of a unit. */
    public static int priorityClassOf(double weight) {
        double octaves =
                Math.log(Math.max(weight, MIN_PRIORITY_WEIGHT) / MIN_PRIORITY_WEIGHT) / Math.log(2);
        return Math.min(PRIORITY_CLASSES - 1, (int) Math.floor(2 * octaves + CLASS_TOLERANCE));
    }

    /** The lowest weight of a unit in a priority class. */
    public static double minWeightOf(int priorityClass) {
        return MIN_PRIORITY_WEIGHT * Math.pow(2, priorityClass / 2.0);
    }

    /** Whether this record is newer than another of the same gateway; true if that is null. */
    public boolean isNewerThan(GossipRecord other) {
        return other == null
                || incarnation.start() > other.incarnation.start()
                || incarnation.start() == other.incarnation.start()
                        && sequence - other.sequence > 0;
    }
}
