package tinford.api;

/**
 * What a fleet has settled, as the decisions of one gateway see it, and what that gateway tells of
 * itself. As it stands here it is the view of a gateway that is alone: nothing is bounded, nothing
 * is told. All calls come on the I/O thread, within a round.
 */
public class FleetPolicy {
    /**
     * Of the units worth so much each, the part that passes now; 1 where the fleet is not strained.
     */
    public double admittedShare(double weight) {
        return 1;
    }

    /**
     * Further dispatches that this gateway may send now, given those that its own budget allows.
     */
    public double retryAllowance(double ownBudget) {
        return ownBudget;
    }

    /** Whether this gateway is to find out how a server does that was put aside. */
    public boolean ownsProbing(Server server) {
        return true;
    }

    /** Connections that this gateway may hold at the server, idle ones included. */
    public int connectionLimit(Server server) {
        return Integer.MAX_VALUE;
    }

    /** Dispatches that a customer may have out through this gateway at once. */
    public int tenantAttemptLimit(Tenant tenant) {
        return Integer.MAX_VALUE;
    }

    /**
     * Whether the req may go to the server now; {@code first} is where an earlier dispatch of it
     * may have run, or null.
     */
    public boolean allowsServer(Request request, Server server, Server earlierServer) {
        return true;
    }

    /** Whether it may go anywhere at all. */
    public boolean isRoutable(Request request) {
        return true;
    }

    /**
     * By how much at most a time to come back is put off by chance, so that those denied together
     * do not return together.
     */
    public double retryAfterJitterMs() {
        return 0;
    }

    /** A req within its quota was asked for, worth so much a unit. */
    public void requestOffered(Request request, double weight) {}

    /**
     * Of those that were asked for, one is over that was never sent: shed, denied, or left by its
     * client.
     */
    public void requestRejected(Request request, double weight) {}

    /** It went to a server, for the first time or again. */
    public void attemptSent(Request request, Server server, double weight, boolean retry) {}

    /** What went to a server has ended. */
    public void attemptEnded(
            Request request, Server server, AttemptOutcome outcome, boolean late) {}

    /** It could not go where it wanted, as no connection or share of its customer was free. */
    public void requestBlocked(Request request) {}

    /** A connection to the server is opened, or is gone. */
    public void connectionOpened(Server server) {}

    public void connectionClosed(Server server) {}

    /** A server was put aside, or is as others again. */
    public void serverHealthChanged(Server server, boolean unhealthy) {}
}
