package tinford.fleet.control;

import java.lang.System.Logger.Level;
import java.util.Locale;
import tinford.fleet.config.Rejection;

/** The log lines of a control server. */
final class ControlLog {
    private static final System.Logger LOG = System.getLogger("tinford.fleet.control");

    private ControlLog() {}

    static void started(ControlSettings settings, int port) {
        LOG.log(
                Level.INFO,
                "control server started role="
                        + settings.role().name().toLowerCase(Locale.ROOT)
                        + " name="
                        + settings.name()
                        + " fleet="
                        + settings.fleet()
                        + " region="
                        + settings.region()
                        + " port="
                        + port);
    }

    static void stopped(String name) {
        LOG.log(Level.INFO, "control server stopped name=" + name);
    }

    static void revisionApplied(long revision) {
        LOG.log(Level.INFO, "configuration applied revision=" + revision);
    }

    static void proposalRejected(String id, Rejection rejection) {
        LOG.log(Level.INFO, "proposal rejected id=" + id + " errors=" + rejection);
    }

    /** An entry of the log was skipped, as it is on every voter. */
    static void logEntryUnreadable(long index, Throwable cause) {
        LOG.log(
                Level.ERROR,
                "log entry skipped: unreadable index=" + index + " error=" + cause.getMessage());
    }

    static void logSnapshotUnreadable(long index, Throwable cause) {
        LOG.log(
                Level.ERROR,
                "log snapshot not restored: unreadable index="
                        + index
                        + " error="
                        + cause.getMessage());
    }

    static void snapshotFailed(Throwable cause) {
        LOG.log(Level.WARNING, "snapshot for followers not made error=" + cause);
    }

    static void snapshotNotLoaded(String problem) {
        LOG.log(Level.INFO, "replica starts without a stored snapshot reason=" + problem);
    }

    static void snapshotNotSaved(Throwable cause) {
        LOG.log(Level.WARNING, "replica snapshot not saved error=" + cause);
    }

    static void followerStalled(String follower, int pendingBytes) {
        LOG.log(
                Level.WARNING,
                "follower disconnected: too slow follower="
                        + follower
                        + " pendingBytes="
                        + pendingBytes);
    }

    static void followerAhead(String follower, long revision, long ownRevision) {
        LOG.log(
                Level.WARNING,
                "follower ahead of this server follower="
                        + follower
                        + " followerRevision="
                        + revision
                        + " serverRevision="
                        + ownRevision);
    }
}
