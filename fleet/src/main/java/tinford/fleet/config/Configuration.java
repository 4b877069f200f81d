package tinford.fleet.config;

import java.util.List;
import java.util.Map;

/**
 * The configuration at one revision; immutable. The maps iterate in ascending order of their keys
 * and are shared between revisions that don't differ in them.
 */
public final class Configuration {
    /** Revision 0, without any content. */
    public static final Configuration EMPTY = new Configuration();

    private Configuration() {}

    public long revision() {
        return 0;
    }

    public Map<String, Service> services() {
        return Map.of();
    }

    public Map<String, Route> routes() {
        return Map.of();
    }

    public Map<String, Plan> plans() {
        return Map.of();
    }

    public Map<Long, Tenant> tenants() {
        return Map.of();
    }

    /**
     * The same number for the same content (whatever the revision), another one for other content,
     * as far as 64 bits tell them apart; the same in every process. Costs nothing to ask.
     */
    public long contentHash() {
        return 0;
    }

    /** With these changes made, in their order, at a later revision; nothing is validated. */
    public Configuration with(long revision, List<Change> changes) {
        throw new UnsupportedOperationException();
    }

    /** The changes that make this content into that of another configuration. */
    public List<Change> changesTo(Configuration other) {
        throw new UnsupportedOperationException();
    }
}
