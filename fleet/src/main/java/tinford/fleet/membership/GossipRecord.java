package tinford.fleet.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The gossip record of one gateway: what it saw itself over the last second or so, rates a second.
 * Classes of worth are powers of the square root of two of the worth a unit, so that all gateways
 * have the same ones without agreeing on any.
 */
public final class GossipRecord {
    public static final int CLASSES = 24;

    /** Worth a unit of class 0 and below; class {@code c} begins at LEAST * 2^(c/2). */
    public static final double LEAST = 1.0 / 16;

    public static final int MAX_SERVERS = 6;

    /**
     * A server that this gateway put aside, or found well again, so many ms before the record was
     * made; named by a hash of its id.
     */
    public record ServerHealth(int server, boolean unhealthy, double ago) {}

    public final Incarnation incarnation;
    public final int seq;

    /** Units a second inside quotas: asked for, and sent on, by class of worth. */
    public final double[] asked = new double[CLASSES];

    public final double[] sent = new double[CLASSES];

    /**
     * A second: first dispatches, further ones, and how dispatches ended: by their target, late or
     * without an answer, failed.
     */
    public double first;

    public double further;
    public double good;
    public double late;
    public double failed;

    /** Units a second of the answers that came by their target. */
    public double goodUnits;

    /** Dispatches out, and requests that wait in its line. */
    public double open;

    public double waiting;

    /**
     * Units a second that this gateway believes the servers bear of the whole fleet; 0 where it
     * sees no strain.
     */
    public double capacity;

    /**
     * Which incarnation it lately gave further dispatches of its own budget to (null: none), and
     * how many in all.
     */
    public Incarnation cededTo;

    public double ceded;
    public final List<ServerHealth> serverHealth = new ArrayList<>(MAX_SERVERS);

    public GossipRecord(Incarnation incarnation, int seq) {
        this.incarnation = incarnation;
        this.seq = seq;
    }

    public static int classOf(double worth) {
        int c = (int) Math.floor(2 * Math.log(Math.max(worth, LEAST) / LEAST) / Math.log(2) + 1e-9);
        return Math.min(CLASSES - 1, c);
    }

    /** The least worth a unit of a class. */
    public static double worthOf(int c) {
        return LEAST * Math.pow(2, c / 2.0);
    }

    /**
     * Whether this one replaces the other of the same gateway: of a later incarnation, or of the
     * same one and told later.
     */
    public boolean newer(GossipRecord other) {
        return other == null
                || incarnation.start() > other.incarnation.start()
                || incarnation.start() == other.incarnation.start() && seq - other.seq > 0;
    }
}
