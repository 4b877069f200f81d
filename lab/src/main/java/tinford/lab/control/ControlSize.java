package tinford.lab.control;

/**
 * How large a control run is.
 *
 * @param voters control servers that keep the log; {@code replicas} those that only serve it
 * @param gateways real ones, under load; {@code hollow} followers with the real client and no data
 *     path, in {@code hollowProcesses} JVMs
 */
record ControlSize(
        int voters,
        int replicas,
        int gateways,
        int hollow,
        int hollowProcesses,
        int services,
        int routes,
        int tenants) {
    /** The deployment's: eight machines, 530 followers. */
    static final ControlSize FULL = new ControlSize(5, 3, 6, 524, 2, 300, 1_500, 14_000);

    ControlSize {
        check(voters >= 1 && voters <= 7 && voters % 2 == 1, "an odd number of voters, 7 at most");
        check(replicas >= 0 && replicas <= 16, "0 to 16 replicas");
        check(gateways >= 0 && gateways <= 16, "0 to 16 gateways");
        check(hollow >= 1 && hollow <= 5_000, "1 to 5000 hollow followers");
        check(hollowProcesses >= 1 && hollowProcesses <= 8, "1 to 8 processes of followers");
        check(services >= 1 && services <= routes, "at least a service, a route for each");
        check(tenants >= 10, "10 tenants or more");
    }

    int servers() {
        return voters + replicas;
    }

    int followers() {
        return gateways + hollow;
    }

    private static void check(boolean holds, String expected) {
        if (!holds) {
            throw new IllegalArgumentException("expected " + expected);
        }
    }
}
