package tinford.api;

/**
 * What a fleet has settled, as the decisions of one gateway see it, and what that gateway tells of
 * itself. As it stands here it is the view of a gateway that is alone: nothing is bounded, nothing
 * is told. All calls come on the I/O thread, within a round.
 */
public class View {
    /**
     * Of the units worth so much each, the part that passes now; 1 where the fleet is not strained.
     */
    public double part(double worth) {
        return 1;
    }

    /**
     * Further dispatches that this gateway may send now, given those that its own budget allows.
     */
    public double further(double own) {
        return own;
    }

    /** Whether this gateway is to find out how a server does that was put aside. */
    public boolean looksAfter(Srv srv) {
        return true;
    }

    /** Connections that this gateway may hold at the server, idle ones included. */
    public int mayHold(Srv srv) {
        return Integer.MAX_VALUE;
    }

    /** Dispatches that a customer may have out through this gateway at once. */
    public int mayUse(Customer customer) {
        return Integer.MAX_VALUE;
    }

    /**
     * Whether the req may go to the server now; {@code first} is where an earlier dispatch of it
     * may have run, or null.
     */
    public boolean mayGo(Req req, Srv srv, Srv first) {
        return true;
    }

    /** Whether it may go anywhere at all. */
    public boolean goes(Req req) {
        return true;
    }

    /**
     * By how much at most a time to come back is put off by chance, so that those denied together
     * do not return together.
     */
    public double spread() {
        return 0;
    }

    /** A req within its quota was asked for, worth so much a unit. */
    public void asked(Req req, double worth) {}

    /**
     * Of those that were asked for, one is over that was never sent: shed, denied, or left by its
     * client.
     */
    public void denied(Req req, double worth) {}

    /** It went to a server, for the first time or again. */
    public void sent(Req req, Srv srv, double worth, boolean further) {}

    /** What went to a server has ended. */
    public void ended(Req req, Srv srv, End how, boolean late) {}

    /** It could not go where it wanted, as no connection or share of its customer was free. */
    public void lacked(Req req) {}

    /** A connection to the server is opened, or is gone. */
    public void opened(Srv srv) {}

    public void closed(Srv srv) {}

    /** A server was put aside, or is as others again. */
    public void ill(Srv srv, boolean ill) {}
}
