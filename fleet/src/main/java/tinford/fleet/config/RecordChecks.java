package tinford.fleet.config;

import java.util.regex.Pattern;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/** Validates single records: names and ranges of numbers, but not references to other records. */
public final class RecordChecks {
    private static final Pattern NAME =
            Pattern.compile(
                    "[A-Za-z0-9_][A-Za-z0-9_.-]{0,"
                            + (ConfigurationLimits.MAX_NAME_LENGTH - 1)
                            + "}");

    /** Description of a valid name, for error messages. */
    public static final String EXPECTED_NAME =
            "1 to "
                    + ConfigurationLimits.MAX_NAME_LENGTH
                    + " of A-Z a-z 0-9 _ . -, not beginning with . or -";

    private static final String EXPECTED_AMOUNT =
            "a number from 0 to " + ConfigurationLimits.MAX_NUMBER;
    private static final String EXPECTED_DURATION =
            "ms from 0 to " + (long) ConfigurationLimits.MAX_DURATION_MS;

    private final ValidationErrors errors;

    RecordChecks(ValidationErrors errors) {
        this.errors = errors;
    }

    /** Whether a text is a valid name of a service, route, plan, follower, region or fleet. */
    public static boolean isName(String text) {
        return text != null && NAME.matcher(text).matches();
    }

    void checkName(String key, String name) {
        errors.expect(isName(name), key, EXPECTED_NAME);
    }

    void checkService(String prefix, ServiceRecord service) {
        checkName(prefix + ".name", service.name());
    }

    void checkRoute(String prefix, RouteRecord route) {
        checkName(prefix + ".name", route.name());
        checkName(prefix + ".service", route.service());
        checkPositiveDuration(prefix + ".timeoutMs", route.timeoutMs());
        checkPositiveDuration(prefix + ".targetMs", route.latencyObjectiveMs());
        errors.expect(
                !(route.latencyObjectiveMs() > route.timeoutMs()),
                prefix + ".targetMs",
                "at most timeoutMs, " + route.timeoutMs());
        checkAmount(prefix + ".value", route.priorityWeight());
        checkAmount(prefix + ".lateValue", route.lateWeight());
        errors.expect(
                isDuration(route.deduplicationWindowMs()),
                prefix + ".repeatWindowMs",
                EXPECTED_DURATION);
        errors.expect(
                route.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        || route.deduplicationScope() == DeduplicationScope.ALL,
                prefix + ".group",
                "none, or all, where effect is not idempotency_key");
    }

    void checkPlan(String prefix, PlanRecord plan) {
        checkName(prefix + ".name", plan.name());
        checkAmount(prefix + ".ratePerSecond", plan.quotaPerSecond());
        checkBurst(prefix + ".burst", plan.burst(), plan.quotaPerSecond());
        errors.expect(plan.maxOpenRequests() >= 0, prefix + ".maxOpen", "a whole number from 0 on");
        checkAmount(prefix + ".price", plan.priorityWeight());
        checkAmount(prefix + ".beyondValue", plan.overQuotaWeight());
        checkAmount(prefix + ".beyondCost", plan.overQuotaCost());
        checkAmount(prefix + ".ceilingPerSecond", plan.hardLimitPerSecond());
        checkBurst(prefix + ".ceilingBurst", plan.hardLimitBurst(), plan.hardLimitPerSecond());
        checkAmount(prefix + ".ceilingSlack", plan.hardLimitSlack());
    }

    void checkTenant(String prefix, TenantRecord tenant) {
        checkName(prefix + ".plan", tenant.plan());
    }

    private void checkAmount(String key, double number) {
        errors.expect(isAmount(number), key, EXPECTED_AMOUNT);
    }

    /** A rate requires a burst, because a token bucket without capacity would admit nothing. */
    private void checkBurst(String key, double burst, double rate) {
        checkAmount(key, burst);
        errors.expect(!(rate > 0) || burst > 0, key, "above 0 where there is a rate");
    }

    private void checkPositiveDuration(String key, double time) {
        errors.expect(
                isDuration(time) && time > 0,
                key,
                "ms above 0, at most " + (long) ConfigurationLimits.MAX_DURATION_MS);
    }

    private static boolean isAmount(double number) {
        return number >= 0 && number <= ConfigurationLimits.MAX_NUMBER;
    }

    private static boolean isDuration(double time) {
        return time >= 0 && time <= ConfigurationLimits.MAX_DURATION_MS;
    }
}
