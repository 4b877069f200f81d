package tinford.api;

/**
 * Settings of the shared counter that holds the usage of all gateways.
 *
 * @param present whether the gateway has a shared counter
 * @param timeoutMs timeout of a call to the counter in ms
 * @param maxRequestUnits largest number of units that one request may have
 * @param postPaid whether the actual units of a request are known only after its first successful
 *     response
 */
public record CounterSettings(
        boolean present, double timeoutMs, double maxRequestUnits, boolean postPaid) {}
