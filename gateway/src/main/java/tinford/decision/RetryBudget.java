package tinford.decision;

import tinford.api.AttemptOutcome;
import tinford.api.FleetPolicy;

/**
 * A budget for retries of attempts that may have run. It grows with the weight of first attempts,
 * so that failures can't multiply the load. Retries of attempts that did not run are free.
 */
final class RetryBudget {
    /** Retries that a first attempt of mean weight adds to the budget. */
    private static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

    private static final double MAX_RETRIES = 10;

    /** Weight of one request in the moving average, which spans about 50 requests. */
    private static final double MEAN_GAIN = 0.02;

    private double retries;
    private double meanWeight = 1;

    void requestArrived(double weight) {
        meanWeight += MEAN_GAIN * (weight - meanWeight);
    }

    void firstAttemptSent(double weight) {
        retries = Math.min(retries + RETRIES_PER_FIRST_ATTEMPT * weight / meanWeight, MAX_RETRIES);
    }

    boolean allows(AttemptOutcome outcome, FleetPolicy policy) {
        return policy.retryAllowance(retries) >= cost(outcome);
    }

    void spend(AttemptOutcome outcome) {
        retries -= cost(outcome);
    }

    private static double cost(AttemptOutcome outcome) {
        return outcome.mayHaveRun ? 1 : 0;
    }
}
