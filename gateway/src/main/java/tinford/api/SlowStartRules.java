package tinford.api;

/**
 * The operators' rules for servers that are warming up.
 *
 * @param initialCapacityShare minimum share of its full capacity that a server has at its start,
 *     from 0 to 1
 * @param warmUpMs longest time in ms from its start until a server has its full capacity
 * @param overloadMultiple multiple of its current capacity beyond which a server that is warming up
 *     fails
 * @param overloadWindowMs time in ms for which that overload has to last
 */
public record SlowStartRules(
        double initialCapacityShare,
        double warmUpMs,
        double overloadMultiple,
        double overloadWindowMs) {}
