package tinford.lab.explore;

import java.util.ArrayList;
import java.util.List;
import tinford.fleet.membership.Incarnation;
import tinford.fleet.migration.MigrationStatus;

/** One gateway of the model: whether it runs, and what of the log it has seen. */
final class MigratingGatewayModel {
    /** No lease, or no acknowledgement under way. */
    static final double NEVER = -1e9;

    /**
     * What a gateway sees when it comes to it in the log.
     *
     * @param status of the moves; null where it is a grant of its own lease
     * @param leaseUntil where it is a grant
     */
    record LogEvent(MigrationStatus status, double leaseUntil) {
        static LogEvent of(MigrationStatus status) {
            return new LogEvent(status, 0);
        }

        static LogEvent grant(double until) {
            return new LogEvent(null, until);
        }

        boolean isGrant() {
            return status == null;
        }
    }

    /** The lease that an earlier incarnation had when it ended. */
    record EarlierLease(Incarnation incarnation, double until) {}

    final int number;
    boolean up = true;

    /** What it asks for doesn't get to the log. */
    boolean cutOff;

    int start;
    MigrationStatus view;

    /** Until when it has a lease as far as it knows, and as the log has it. */
    double leaseSeen;

    double leaseGranted;

    /** When it sent the acknowledgement that is under way, by its own clock. */
    double ackSent = NEVER;

    final List<LogEvent> unread;
    final List<EarlierLease> earlier;

    MigratingGatewayModel(int number, MigrationStatus view, double lease) {
        this.number = number;
        this.view = view;
        this.leaseSeen = lease;
        this.leaseGranted = lease;
        this.unread = new ArrayList<>();
        this.earlier = new ArrayList<>();
    }

    MigratingGatewayModel(MigratingGatewayModel other) {
        number = other.number;
        up = other.up;
        cutOff = other.cutOff;
        start = other.start;
        view = other.view;
        leaseSeen = other.leaseSeen;
        leaseGranted = other.leaseGranted;
        ackSent = other.ackSent;
        unread = new ArrayList<>(other.unread);
        earlier = new ArrayList<>(other.earlier);
    }

    Incarnation incarnation() {
        return new Incarnation(number, start);
    }

    boolean ackInFlight() {
        return ackSent != NEVER;
    }

    /** A later incarnation, which knows nothing of its lease yet. */
    void restart(MigrationStatus known, MigrationStatus head) {
        earlier.add(new EarlierLease(incarnation(), leaseGranted));
        up = true;
        start++;
        leaseGranted = NEVER;
        leaseSeen = NEVER;
        view = known;
        unread.clear();
        unread.add(LogEvent.of(head));
    }

    /**
     * Two states in a row, on neither of which it acts: it may as well come to the later at once.
     */
    void skipStates() {
        for (int i = unread.size() - 2; i >= 0; i--) {
            if (!unread.get(i).isGrant() && !unread.get(i + 1).isGrant()) {
                unread.remove(i);
            }
        }
    }
}
