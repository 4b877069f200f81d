package tinford.routing;

import tinford.api.FleetPolicy;
import tinford.api.GatewayEvents;
import tinford.transport.EventLoop;

/** The event loop, and the batch in which the classes of the request path are called. */
public interface RoutingContext {
    EventLoop loop();

    /** Start time of the current batch. */
    double nowMs();

    /** Start time of the previous batch. Data read in the current batch arrived after it. */
    double previousBatchMs();

    /** Receives the events of the current batch. */
    GatewayEvents events();

    /** The fleet policy in force; the default policy while the gateway is not part of a fleet. */
    FleetPolicy fleetPolicy();

    /**
     * Logs a warning, at most once a minute for the same event and cause.
     *
     * @param event the failure, as constant text
     * @param subject the peer or object concerned, as {@code key=value}, or empty
     */
    void warn(String event, String subject, Exception cause);
}
