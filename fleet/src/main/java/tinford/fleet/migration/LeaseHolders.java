package tinford.fleet.migration;

import java.util.Collection;
import tinford.fleet.membership.Incarnation;

/**
 * The leases as the migration sees them. They must follow from the entries of the same log, so that
 * every member answers alike.
 */
public interface LeaseHolders {
    /**
     * All incarnations whose lease was not surely expired at a time of the log, including later
     * ones. Any other incarnation has sent nothing since.
     */
    Collection<Incarnation> mayHaveActed(double sinceMs);
}
