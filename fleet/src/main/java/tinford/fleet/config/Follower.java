package tinford.fleet.config;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Follows one control server at a time and decides what its owner does: connect, disconnect, apply,
 * report. The owner passes in what happened, with its time in ms on any steady clock, performs the
 * actions returned in their order, and passes in what became of them; what an earlier watch still
 * brings after a {@link Action.Disconnect} or a new {@link Action.Connect} is not passed in. After
 * {@link Action.Apply} or {@link Action.ApplySnapshot} comes no further one until {@link #applied};
 * what arrives meanwhile is combined. The revision in force never falls. Not thread-safe.
 */
public final class Follower {
    /** What the owner is to do. */
    public sealed interface Action {
        /** Open a watch; then {@link Follower#opened} or {@link Follower#closed}. */
        record Connect(Endpoint endpoint, long afterRevision) implements Action {}

        /** End the watch or the attempt; no {@link Follower#closed} is expected for it. */
        record Disconnect(String reason) implements Action {}

        /** Bring this into force; then {@link Follower#applied}. */
        record Apply(Update update, Configuration result) implements Action {}

        /** Bring this into force, whatever was before; then {@link Follower#applied}. */
        record ApplySnapshot(Configuration configuration) implements Action {}

        /** Send this to the control server that is followed; no answer is expected. */
        record Report(Endpoint endpoint, FollowerReport report) implements Action {}

        /** Tell the operators of something wrong, in one line. */
        record Warn(String message) implements Action {}
    }

    /** How often {@link #tick} should come, ms. */
    public static final double TICK_MS = 100;

    /**
     * Nothing is connected before the first {@link #tick}.
     *
     * @param id of the follower, the same over restarts
     * @param endpoints all control servers; those of the own region are preferred
     * @param inForce what is in force at the start, from the last good snapshot or {@link
     *     Configuration#EMPTY}
     */
    public Follower(
            String id,
            String region,
            String fleetId,
            List<Endpoint> endpoints,
            Configuration inForce,
            RandomGenerator random) {}

    /** The watch asked for last is open. */
    public List<Action> opened(double now) {
        throw new UnsupportedOperationException();
    }

    /** A line came without its line end; an empty one is a heartbeat. */
    public List<Action> line(byte[] line, double now) {
        throw new UnsupportedOperationException();
    }

    /** The watch could not be opened, or ended. */
    public List<Action> closed(String reason, double now) {
        throw new UnsupportedOperationException();
    }

    /**
     * What was to be applied last is in force, or was refused.
     *
     * @param refusal why not; null where it is in force
     */
    public List<Action> applied(String refusal, double now) {
        throw new UnsupportedOperationException();
    }

    /** Time has passed. */
    public List<Action> tick(double now) {
        throw new UnsupportedOperationException();
    }

    /** The configuration in force. */
    public Configuration inForce() {
        throw new UnsupportedOperationException();
    }

    /** The latest configuration received; in force unless it is being applied or was refused. */
    public Configuration received() {
        throw new UnsupportedOperationException();
    }
}
