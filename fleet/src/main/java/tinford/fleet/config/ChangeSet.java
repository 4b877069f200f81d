package tinford.fleet.config;

import java.util.List;

/**
 * A proposal of changes that take effect together, as one revision, or not at all.
 *
 * @param expectedRevision the proposal is rejected unless this is the current revision; null to
 *     accept it at any revision
 */
public record ChangeSet(String id, Long expectedRevision, List<Change> changes)
        implements Proposal {
    public ChangeSet {
        changes = List.copyOf(changes);
    }
}
