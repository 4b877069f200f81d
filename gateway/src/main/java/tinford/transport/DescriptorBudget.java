package tinford.transport;

/**
 * The descriptors that all connections together may hold, a part for each kind of party. Guards the
 * few by which the gateway learns where servers are and what is counted against clients and
 * servers, and what servers need against idle clients, however many there are at the moment.
 */
public final class DescriptorBudget {
    /** Whom a connection is with. */
    public enum Party {
        /** Discovery and the counter. */
        SERVICES,
        SERVERS,
        CLIENTS,
        /** Kept besides, as many as their door lets in. */
        OPERATORS
    }

    /** Two watches and a list fetched once; the counter's, where it was and where it moves to. */
    private static final int TO_SERVICES = 12;

    private final int all;
    private final int[] held = new int[Party.values().length];
    private int aside;

    DescriptorBudget(int all) {
        this.all = all;
    }

    /**
     * How many connections of that kind there may be now; half of what is left when services have
     * theirs.
     */
    public int limit(Party with) {
        int now = Math.max(0, all - aside);
        int services = Math.min(TO_SERVICES, now / 2);
        return switch (with) {
            case SERVICES -> services;
            case SERVERS -> (now - services) / 2;
            case CLIENTS -> (now - services + 1) / 2;
            case OPERATORS -> Integer.MAX_VALUE;
        };
    }

    /**
     * How many of that kind have to end before one more can be opened; 0 when it can be at once.
     */
    public int shortage(Party with) {
        return Math.max(0, held[with.ordinal()] + 1 - limit(with));
    }

    /** So many are another process's for now; connections that are open stay. */
    public void reserve(int descriptors) {
        aside = descriptors;
    }

    boolean take(Party with) {
        boolean free = shortage(with) == 0;
        held[with.ordinal()] += free ? 1 : 0;
        return free;
    }

    void give(Party with) {
        held[with.ordinal()]--;
    }
}
