package tinford.api;

/**
 * A back-end server as the endpoint list last described it to this gateway. The front owns the
 * description and updates it before it reports {@link GatewayEvents#endpointsUpdated}; a front may
 * extend the class with what it needs. All calls come on the I/O thread.
 */
public class Server {
    /** The state that the endpoint list gives a server. */
    public enum State {
        /** Takes requests. */
        UP,
        /** Completes the attempts in flight and takes no new ones. */
        DRAINING,
        /** Is no longer part of the back end. */
        REMOVED
    }

    /** The server's identifier in the endpoint list; unique within a gateway. */
    public final String id;

    private String zone;
    private int cell;
    private String group = "";
    private State state;
    private double weight;
    private double startedAtMs;
    private DecisionState decisionState;

    /** Creates a server whose description is still empty. */
    public Server(String id) {
        this.id = id;
    }

    /** Returns the availability zone that the server runs in, or null before the first update. */
    public final String zone() {
        return zone;
    }

    /** Returns the number of the cell, the smallest failure domain that the server belongs to. */
    public final int cell() {
        return cell;
    }

    /** Returns the server group that the server belongs to, or an empty text without one. */
    public final String group() {
        return group;
    }

    /** Returns the server's state, or null before the first update. */
    public final State state() {
        return state;
    }

    /** Returns the server's share of the traffic relative to the weights of the other servers. */
    public final double weight() {
        return weight;
    }

    /** Returns the time of the last start in ms, or 0 where it is unknown or long ago. */
    public final double startedAtMs() {
        return startedAtMs;
    }

    /**
     * Takes over the description of an endpoint list entry.
     *
     * @param zone availability zone
     * @param cell number of the cell
     * @param group server group; empty where the entry names none
     * @param weight share of the traffic relative to the weights of the other servers
     */
    public final void updateAttributes(String zone, int cell, String group, double weight) {
        this.zone = zone;
        this.cell = cell;
        this.group = group;
        this.weight = weight;
    }

    /** Takes over the state of an endpoint list entry, or of an operator's exclusion. */
    public final void updateState(State state) {
        this.state = state;
    }

    /** Records the server's last start, in ms; 0 where it is unknown or long ago. */
    public final void updateStartTime(double startedAtMs) {
        this.startedAtMs = startedAtMs;
    }

    /** Returns what the decision module stores with this server, or null. */
    public final DecisionState decisionState() {
        return decisionState;
    }

    /** Stores the decision module's state with this server; only that module calls this. */
    public final void attach(DecisionState state) {
        decisionState = state;
    }
}
