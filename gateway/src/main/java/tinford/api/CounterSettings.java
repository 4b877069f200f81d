package tinford.api;

/**
 * Settings of the shared counter that holds the usage of all gateways.
 *
 * @param present whether the gateway has a shared counter
 * @param timeoutMs time in ms after which a call to the counter counts as unanswered
 * @param maxRequestUnits units of the largest request
 * @param postPaid whether the actual units of a request are known only after its first successful
 *     response
 */
public record CounterSettings(
        boolean present, double timeoutMs, double maxRequestUnits, boolean postPaid) {}
