package tinford.api;

/** The figures of the rules on cold servers. */
public final class SlowStartRules {
    public final double initialCapacityShare;
    public final double warmUpMs;
    public final double overloadMultiple;
    public final double overloadWindowMs;

    public SlowStartRules(
            double initialCapacityShare,
            double warmUpMs,
            double overloadMultiple,
            double overloadWindowMs) {
        this.initialCapacityShare = initialCapacityShare;
        this.warmUpMs = warmUpMs;
        this.overloadMultiple = overloadMultiple;
        this.overloadWindowMs = overloadWindowMs;
    }
}
