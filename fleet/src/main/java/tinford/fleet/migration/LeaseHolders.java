package tinford.fleet.migration;

import java.util.Collection;
import tinford.fleet.membership.Incarnation;

/**
 * What the moves ask of the leases. It must follow from the entries of the same log, so that every
 * member answers alike.
 */
public interface LeaseHolders {
    /**
     * All incarnations whose lease was not surely over at that time of the log, later ones
     * included; whoever is missing sent nothing from then on.
     */
    Collection<Incarnation> mayHaveActed(double since);
}
