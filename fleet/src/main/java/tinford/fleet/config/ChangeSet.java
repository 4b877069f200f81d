package tinford.fleet.config;

import java.util.List;

/**
 * Changes that come into force together, as one revision, or not at all.
 *
 * @param expectedRevision rejected unless this is the current revision; null for any
 */
public record ChangeSet(String id, Long expectedRevision, List<Change> changes)
        implements Proposal {
    public ChangeSet {
        changes = List.copyOf(changes);
    }
}
