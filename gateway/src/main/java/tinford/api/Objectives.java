package tinford.api;

/**
 * The operators' objectives and their weights relative to each other.
 *
 * @param overallWeight weight of the priority-weighted units served over all plans
 * @param worstPlanWeight weight of the share that the worst-served plan gets of its demand
 */
public record Objectives(double overallWeight, double worstPlanWeight) {}
