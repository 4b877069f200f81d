package tinford.lab.explore;

import tinford.fleet.membership.Incarnation;
import tinford.fleet.migration.MigrationRouter;
import tinford.fleet.migration.MigrationStatus;
import tinford.fleet.migration.TransitionRules;

/** What is explored: how many faults, and what is broken on purpose, if anything. */
final class ExplorationSettings {
    /** Makes the routing of one gateway; a test hands in a broken one. */
    interface RouteFactory {
        MigrationRouter create(Incarnation incarnation, MigrationStatus status);
    }

    /** Told now and then how far the exploration has come. */
    interface Progress {
        void at(int explored, int found);
    }

    TransitionRules rules = new TransitionRules();
    RouteFactory routes = (incarnation, status) -> new MigrationRouter(incarnation, status, 1);
    Progress progress = (explored, found) -> {};

    /** By how much the clock of gateway 0 is behind, and by how much the leases allow for. */
    double clockSkew = 1;

    double countedClockSkew = 1;

    /** Broken: a lease counts from when its answer came. */
    boolean leaseFromAnswer;

    /** Broken: a grant is seen before the entries ahead of it. */
    boolean grantFirst;

    /** Whether clients say which requests are retries. */
    boolean retriesTold;

    /** Of the frontend that is needed; the one that needs it has one more. */
    int stages = 1;

    boolean needs = true;

    /** Acknowledgements may be under way for any time; else they are in the log at once. */
    boolean acksInFlight;

    int gateways = 3;

    /** Gateways killed or cut off, together. */
    int maxFaults = 1;

    int maxHalts = 1;
    int maxStates = 20_000_000;
}
