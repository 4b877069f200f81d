package tinford.fleet.config;

import java.util.regex.Pattern;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;

/** Checks of single records by themselves: names and ranges of numbers. */
public final class RecordChecks {
    private static final Pattern NAME =
            Pattern.compile(
                    "[A-Za-z0-9_][A-Za-z0-9_.-]{0," + (ConfigurationLimits.NAME_LENGTH - 1) + "}");

    /** What a name is, for a line that tells of one that is none. */
    public static final String EXPECTED_NAME =
            "1 to "
                    + ConfigurationLimits.NAME_LENGTH
                    + " of A-Z a-z 0-9 _ . -, not beginning with . or -";

    private static final String EXPECTED_AMOUNT =
            "a number from 0 to " + ConfigurationLimits.LARGEST_NUMBER;
    private static final String EXPECTED_TIME =
            "ms from 0 to " + (long) ConfigurationLimits.LONGEST_MS;

    private final ValidationErrors faults;

    RecordChecks(ValidationErrors faults) {
        this.faults = faults;
    }

    /** Whether a text is a name: of a service, a route, a plan, a follower, a region or a fleet. */
    public static boolean isName(String text) {
        return text != null && NAME.matcher(text).matches();
    }

    void name(String key, String name) {
        faults.expect(isName(name), key, EXPECTED_NAME);
    }

    void service(String prefix, ServiceRecord service) {
        name(prefix + ".name", service.name());
    }

    void route(String prefix, RouteRecord route) {
        name(prefix + ".name", route.name());
        name(prefix + ".service", route.service());
        positiveTime(prefix + ".timeoutMs", route.timeoutMs());
        positiveTime(prefix + ".targetMs", route.targetMs());
        faults.expect(
                !(route.targetMs() > route.timeoutMs()),
                prefix + ".targetMs",
                "at most timeoutMs, " + route.timeoutMs());
        amount(prefix + ".value", route.value());
        amount(prefix + ".lateValue", route.lateValue());
        faults.expect(isTime(route.repeatWindowMs()), prefix + ".repeatWindowMs", EXPECTED_TIME);
        faults.expect(
                route.effect() == Idempotency.IDEMPOTENCY_KEY
                        || route.group() == DeduplicationScope.ALL,
                prefix + ".group",
                "none, or all, where effect is not idempotency_key");
    }

    void plan(String prefix, PlanRecord plan) {
        name(prefix + ".name", plan.name());
        amount(prefix + ".ratePerSecond", plan.ratePerSecond());
        burst(prefix + ".burst", plan.burst(), plan.ratePerSecond());
        faults.expect(plan.maxOpen() >= 0, prefix + ".maxOpen", "a whole number from 0 on");
        amount(prefix + ".price", plan.price());
        amount(prefix + ".beyondValue", plan.beyondValue());
        amount(prefix + ".beyondCost", plan.beyondCost());
        amount(prefix + ".ceilingPerSecond", plan.ceilingPerSecond());
        burst(prefix + ".ceilingBurst", plan.ceilingBurst(), plan.ceilingPerSecond());
        amount(prefix + ".ceilingSlack", plan.ceilingSlack());
    }

    void tenant(String prefix, TenantRecord tenant) {
        name(prefix + ".plan", tenant.plan());
    }

    private void amount(String key, double number) {
        faults.expect(isAmount(number), key, EXPECTED_AMOUNT);
    }

    /** A bucket that a rate fills; without room in it nothing would ever pass. */
    private void burst(String key, double burst, double rate) {
        amount(key, burst);
        faults.expect(!(rate > 0) || burst > 0, key, "above 0 where there is a rate");
    }

    private void positiveTime(String key, double time) {
        faults.expect(
                isTime(time) && time > 0,
                key,
                "ms above 0, at most " + (long) ConfigurationLimits.LONGEST_MS);
    }

    private static boolean isAmount(double number) {
        return number >= 0 && number <= ConfigurationLimits.LARGEST_NUMBER;
    }

    private static boolean isTime(double time) {
        return time >= 0 && time <= ConfigurationLimits.LONGEST_MS;
    }
}
