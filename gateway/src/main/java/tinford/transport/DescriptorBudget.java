package tinford.transport;

/**
 * The file descriptors that all connections together may hold, with a limit for each kind of peer.
 * The limits keep descriptors for discovery and the counter, and for servers, however many clients
 * are connected.
 */
public final class DescriptorBudget {
    /** What a connection's other side is. */
    public enum PeerKind {
        /** Discovery and the counter. */
        SERVICES,
        SERVERS,
        CLIENTS,
        /** Counted outside the budget; their listener limits them. */
        ADMINS
    }

    /** Two watches and a list fetch; the counter's, at its old and its new address. */
    private static final int MAX_SERVICES = 12;

    private final int total;
    private final int[] acquired = new int[PeerKind.values().length];
    private int reservedForOtherProcess;

    DescriptorBudget(int total) {
        this.total = total;
    }

    /**
     * How many connections of that kind may be open now. Servers and clients have half each of what
     * the services leave.
     */
    public int limit(PeerKind kind) {
        int available = Math.max(0, total - reservedForOtherProcess);
        int services = Math.min(MAX_SERVICES, available / 2);
        return switch (kind) {
            case SERVICES -> services;
            case SERVERS -> (available - services) / 2;
            case CLIENTS -> (available - services + 1) / 2;
            case ADMINS -> Integer.MAX_VALUE;
        };
    }

    /** How many connections of that kind have to be closed before one more can be opened. */
    public int shortage(PeerKind kind) {
        return Math.max(0, acquired[kind.ordinal()] + 1 - limit(kind));
    }

    /**
     * Sets how many descriptors belong to another process of this gateway. Connections that are
     * open already stay open.
     */
    public void setReservedForOtherProcess(int descriptors) {
        reservedForOtherProcess = descriptors;
    }

    boolean tryAcquire(PeerKind kind) {
        boolean available = shortage(kind) == 0;
        if (available) {
            acquired[kind.ordinal()]++;
        }
        return available;
    }

    void release(PeerKind kind) {
        acquired[kind.ordinal()]--;
    }
}
