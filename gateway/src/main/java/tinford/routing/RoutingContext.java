package tinford.routing;

import tinford.api.FleetPolicy;
import tinford.api.GatewayEvents;
import tinford.transport.EventLoop;

/** What each part of the request path sees of the event loop iteration in which it is called. */
public interface RoutingContext {
    EventLoop loop();

    /** Time of the current batch. */
    double nowMs();

    /** Time of the batch before: what is read in this one arrived after it. */
    double previousBatchMs();

    /** Where to report what came in during the current batch. */
    GatewayEvents events();

    /** The policy of the fleet in force; the default one while the gateway is alone. */
    FleetPolicy fleetPolicy();

    /**
     * Logs a warning, at most once a minute for the same event and cause.
     *
     * @param event what went wrong
     * @param subject what it happened to, as {@code key=value}, or empty
     */
    void warn(String event, String subject, Exception cause);
}
