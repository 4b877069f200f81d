package tinford.fleet.migration;

import java.util.Collection;
import tinford.fleet.membership.Incarnation;

/**
 * The leases as far as the migration needs them. The result must depend on the entries of the same
 * log alone, so that it is the same on every member.
 */
public interface LeaseHolders {
    /**
     * Returns all incarnations whose lease was not certain to have expired at a time of the log,
     * including later incarnations. No other incarnation has sent a request since then.
     */
    Collection<Incarnation> mayHaveActed(double sinceMs);
}
