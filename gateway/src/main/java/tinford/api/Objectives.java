package tinford.api;

/**
 * The relative weights of the operators' objectives.
 *
 * @param overallWeight weight of the priority-weighted units served across all plans
 * @param worstPlanWeight weight of the share of its demand that the worst-served plan gets
 */
public record Objectives(double overallWeight, double worstPlanWeight) {}
