package tinford.api;

/**
 * The operators' rules on servers that are warming up.
 *
 * @param initialCapacityShare least part of its full capacity that a server starts with, from 0 to
 *     1
 * @param warmUpMs longest time in ms from its start until a server has its full capacity
 * @param overloadMultiple multiple of its present capacity beyond which a server that is warming up
 *     fails
 * @param overloadWindowMs time in ms for which that overload has to last
 */
public record SlowStartRules(
        double initialCapacityShare,
        double warmUpMs,
        double overloadMultiple,
        double overloadWindowMs) {}
