package tinford.api;

/** A server as the list last showed it to this gateway; a front may extend it. */
public class Server {
    /** What the list says of a server. */
    public enum State {
        UP,
        DRAINING,
        REMOVED
    }

    public final String id;
    public String zone;
    public int cell;

    /** The group of servers that it belongs to, as the list names it; empty where none is told. */
    public String group = "";

    public State state;
    public double weight;

    /** Its last start, or 0 for one long past. */
    public double startedAtMs;

    private DecisionState decisionState;

    public Server(String id) {
        this.id = id;
    }

    /** What the decision module keeps of it, or null. */
    public final DecisionState decisionState() {
        return decisionState;
    }

    /** Called by the decision module only. */
    public final void attach(DecisionState state) {
        decisionState = state;
    }
}
