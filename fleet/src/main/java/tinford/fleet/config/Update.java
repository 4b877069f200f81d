package tinford.fleet.config;

import java.util.List;

/** The changes that lead from one revision to a later one. */
public record Update(long fromRevision, long revision, List<Change> changes) {
    public Update {
        if (fromRevision < 0 || revision <= fromRevision) {
            throw new IllegalArgumentException(
                    "update from " + fromRevision + " to " + revision + ": expected a later one");
        }
        changes = List.copyOf(changes);
    }
}
