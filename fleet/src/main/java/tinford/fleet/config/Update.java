package tinford.fleet.config;

import java.util.List;

/**
 * The changes between one revision and a later one.
 *
 * @param fromRevision the revision before the changes
 * @param revision the revision after them
 */
public record Update(long fromRevision, long revision, List<Change> changes) {
    public Update {
        if (fromRevision < 0 || revision <= fromRevision) {
            throw new IllegalArgumentException(
                    "update from "
                            + fromRevision
                            + " to "
                            + revision
                            + ": expected a later revision");
        }
        changes = List.copyOf(changes);
    }
}
