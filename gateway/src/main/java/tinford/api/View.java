package tinford.api;

/**
 * What a fleet has settled, as its decisions see it in one gateway, and what that gateway tells of itself. As it stands here it is the
 * view of a gateway that is alone: nothing is bounded, nothing is told. All calls come on the I/O thread, within a round.
 */
public class View {
    /** Worth a unit below which a req is not passed now; 0 where the fleet is not strained. */
    public double threshold() {
        return 0;
    }

    /** Of the units right at the threshold, the part that passes. */
    public double partAtThreshold() {
        return 1;
    }

    /** Further dispatches that this gateway may send now, given those that its own budget allows. */
    public double further(double own) {
        return own;
    }

    /** Whether this gateway is to find out how a server does that was put aside. */
    public boolean looksAfter(Srv srv) {
        return true;
    }

    /** Connections that this gateway may hold at the server. */
    public int mayHold(Srv srv) {
        return Integer.MAX_VALUE;
    }

    /** Dispatches that a customer may have out through this gateway at once. */
    public int mayUse(Customer customer) {
        return Integer.MAX_VALUE;
    }

    /** Whether reqs of the frontend go to the server's group now; {@code first} is where an earlier dispatch may have run, or null. */
    public boolean mayGo(Req req, Srv srv, Srv first) {
        return true;
    }

    /** By how much at most a time to come back is put off by chance, so that those denied together do not return together. */
    public double spread() {
        return 0;
    }

    /** A req within its quota was asked for. */
    public void asked(Req req, double worth) { }

    /** It was denied, because of the threshold or otherwise. */
    public void denied(Req req, double worth) { }

    /** It went to a server, for the first time or again. */
    public void sent(Req req, Srv srv, boolean further) { }

    /** What went to a server has ended. */
    public void ended(Req req, Srv srv, End how, boolean late) { }

    /** A server was put aside, or is as others again. */
    public void ill(Srv srv, boolean ill) { }
}
