package tinford.fleet.config;

import java.util.List;

/**
 * The changes that lead from one revision to a later one.
 *
 * @param fromRevision the revision before the changes
 * @param revision the revision after them
 */
public record Update(long fromRevision, long revision, List<Change> changes) {
    public Update {
        if (fromRevision < 0 || revision <= fromRevision) {
            throw new IllegalArgumentException(
                    "update from " + fromRevision + " to " + revision + ": expected a later one");
        }
        changes = List.copyOf(changes);
    }
}
