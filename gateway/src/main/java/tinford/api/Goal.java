package tinford.api;

/** What the operators weigh: all value together, and what the worst-served plan gets of its own. */
public final class Goal {
    public final double whole;
    public final double worstPlan;

    public Goal(double whole, double worstPlan) {
        this.whole = whole;
        this.worstPlan = worstPlan;
    }
}
