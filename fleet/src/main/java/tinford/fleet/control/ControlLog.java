package tinford.fleet.control;

import java.lang.System.Logger.Level;
import java.util.Locale;

/** The log lines of a control server. */
final class ControlLog {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.control");

    private ControlLog() {}

    static void started(ControlSettings settings, int port) {
        LOG.log(
                Level.INFO,
                settings.role().name().toLowerCase(Locale.ROOT)
                        + " "
                        + settings.name()
                        + " of fleet "
                        + settings.fleet()
                        + ", region "
                        + settings.region()
                        + ", serves on port "
                        + port);
    }

    static void stopped(String name) {
        LOG.log(Level.INFO, name + " has ended");
    }

    static void revisionApplied(long revision) {
        LOG.log(Level.INFO, "revision " + revision);
    }

    static void proposalRejected(String id, Object refusal) {
        LOG.log(Level.INFO, "proposal " + id + " refused: " + refusal);
    }

    static void logEntryUnreadable(long index, Throwable cause) {
        LOG.log(Level.ERROR, "log entry " + index + " left out: " + cause.getMessage());
    }

    static void logSnapshotUnreadable(long index, Throwable cause) {
        LOG.log(Level.ERROR, "log snapshot at " + index + " can't be used: " + cause.getMessage());
    }

    static void snapshotFailed(Throwable cause) {
        LOG.log(Level.WARNING, "snapshot for followers not made: " + cause);
    }

    static void snapshotNotLoaded(String problem) {
        LOG.log(Level.INFO, "starts without a snapshot of its own: " + problem);
    }

    static void snapshotNotSaved(Throwable cause) {
        LOG.log(Level.WARNING, "snapshot not kept on the disk: " + cause);
    }

    static void followerStalled(String follower, int pendingBytes) {
        LOG.log(
                Level.WARNING,
                "follower " + follower + " closed: it left " + pendingBytes + " bytes unread");
    }

    static void followerAhead(String follower, long revision, long own) {
        LOG.log(
                Level.WARNING,
                "follower " + follower + " holds revision " + revision + ", here is " + own);
    }
}
