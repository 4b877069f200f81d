package tinford.transport;

/**
 * The file descriptors that all connections together may use, with a limit for each kind of peer.
 * The limits keep descriptors available for discovery, the counter and servers, however many
 * clients are connected.
 */
public final class DescriptorBudget {
    /** The kind of peer at the other end of a connection. */
    public enum PeerKind {
        /** Discovery and the counter. */
        SERVICES,
        SERVERS,
        CLIENTS,
        /** Callers of the admin API; not counted in the budget, but limited by their listener. */
        ADMINS
    }

    /**
     * Enough for two watches and an endpoint list fetch, and for the counter's connections at its
     * old and its new address.
     */
    private static final int MAX_SERVICES = 12;

    private final int total;
    private final int[] acquiredByKind = new int[PeerKind.values().length];
    private int reservedForOtherProcess;

    DescriptorBudget(int total) {
        this.total = total;
    }

    /**
     * How many connections of that kind may be open now. Servers and clients each get half of what
     * remains after the services.
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

    /** How many connections of that kind must be closed before one more can be opened. */
    public int shortage(PeerKind kind) {
        return Math.max(0, acquiredByKind[kind.ordinal()] + 1 - limit(kind));
    }

    /**
     * Sets how many descriptors are reserved for another process of this gateway. Connections that
     * are already open stay open.
     */
    public void setReservedForOtherProcess(int descriptors) {
        reservedForOtherProcess = descriptors;
    }

    boolean tryAcquire(PeerKind kind) {
        boolean available = shortage(kind) == 0;
        if (available) {
            acquiredByKind[kind.ordinal()]++;
        }
        return available;
    }

    void release(PeerKind kind) {
        acquiredByKind[kind.ordinal()]--;
    }
}
