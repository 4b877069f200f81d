package tinford.program;

/**
 * How the process divides its descriptors and its heap.
 *
 * @param adminConnections connections of operators at once
 * @param connections all others
 * @param reservedForOtherProcess of these, while another process of the gateway runs
 * @param idleClientThreshold client connections from which on idle ones are closed for new ones
 * @param memoryBytes for all that connections make the process hold
 */
record ResourceBudgets(
        int adminConnections,
        int connections,
        int reservedForOtherProcess,
        int idleClientThreshold,
        long memoryBytes) {
    /** The jar, the selectors, the listening sockets, the logs. */
    private static final int NON_CONNECTION_DESCRIPTORS = 40;

    /** Those of them that are sockets. */
    private static final int NON_CONNECTION_SOCKETS = 4;

    /** With fewer, one kind of peer or another would have none. */
    private static final int MIN_CONNECTIONS = 8;

    private static final int MIN_ADMIN_CONNECTIONS = 4;
    private static final int MAX_ADMIN_CONNECTIONS = 24;
    private static final int ADMIN_DIVISOR = 16;
    private static final int IDLE_CLIENT_DIVISOR = 4;
    private static final int CONNECTION_HEAP_DIVISOR = 2;

    /**
     * The budgets under a configuration.
     *
     * @throws tinford.settings.InvalidSettingsException if there are too few descriptors
     */
    static ResourceBudgets of(ProcessConfiguration configuration, long heapBytes) {
        int sockets = configuration.sockets();
        int admin = configuration.hasAdminApi() ? adminConnections(sockets) : 0;
        int connections = sockets - NON_CONNECTION_DESCRIPTORS - admin;
        if (connections < MIN_CONNECTIONS) {
            throw configuration.tooFewSockets(NON_CONNECTION_DESCRIPTORS + admin + MIN_CONNECTIONS);
        }
        // two processes of a gateway may hold no more sockets together than one has descriptors
        int whileTwo = sockets / 2 - NON_CONNECTION_SOCKETS - admin;
        return new ResourceBudgets(
                admin,
                connections,
                Math.max(0, connections - whileTwo),
                sockets / IDLE_CLIENT_DIVISOR,
                heapBytes / CONNECTION_HEAP_DIVISOR);
    }

    private static int adminConnections(int sockets) {
        int share = Math.max(MIN_ADMIN_CONNECTIONS, sockets / ADMIN_DIVISOR);
        return Math.min(MAX_ADMIN_CONNECTIONS, share);
    }
}
