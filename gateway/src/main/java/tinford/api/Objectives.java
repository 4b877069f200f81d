package tinford.api;

/** What the operators weigh: all value together, and what the worst-served plan gets of its own. */
public final class Objectives {
    public final double overallWeight;
    public final double worstPlanWeight;

    public Objectives(double overallWeight, double worstPlanWeight) {
        this.overallWeight = overallWeight;
        this.worstPlanWeight = worstPlanWeight;
    }
}
