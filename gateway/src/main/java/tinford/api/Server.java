package tinford.api;

/**
 * A back-end server, as described by the latest endpoint list of this gateway. The I/O layer owns
 * the description and updates it before it reports {@link GatewayEvents#endpointsUpdated}; it may
 * extend the class with its own state. All calls are made on the I/O thread.
 */
public class Server {
    /** The state that the endpoint list gives a server. */
    public enum State {
        /** Accepts requests. */
        UP,
        /** Completes the attempts in flight and gets no new ones. */
        DRAINING,
        /** No longer part of the back end. */
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

    /** Creates a server without a description. */
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

    /** Returns the server group that the server belongs to, or an empty string without one. */
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

    /** Returns the time of the last start in ms, or 0 if it is unknown or long ago. */
    public final double startedAtMs() {
        return startedAtMs;
    }

    /**
     * Applies the description of an endpoint list entry.
     *
     * @param zone availability zone
     * @param cell number of the cell
     * @param group server group; empty if the entry has none
     * @param weight share of the traffic relative to the weights of the other servers
     */
    public final void updateAttributes(String zone, int cell, String group, double weight) {
        this.zone = zone;
        this.cell = cell;
        this.group = group;
        this.weight = weight;
    }

    /** Applies the state of an endpoint list entry, or of an operator's exclusion of the server. */
    public final void updateState(State state) {
        this.state = state;
    }

    /** Records the server's last start, in ms; 0 if it is unknown or long ago. */
    public final void updateStartTime(double startedAtMs) {
        this.startedAtMs = startedAtMs;
    }

    /** Returns the state that the decision module keeps for this server, or null. */
    public final DecisionState decisionState() {
        return decisionState;
    }

    /** Attaches the decision module's state; called only by that module. */
    public final void attach(DecisionState state) {
        decisionState = state;
    }
}
