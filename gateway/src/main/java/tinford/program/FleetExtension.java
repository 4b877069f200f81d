package tinford.program;

import java.io.IOException;
import java.util.function.Consumer;
import tinford.api.FleetPolicy;
import tinford.api.GatewayIdentity;
import tinford.routing.catalog.Catalog;
import tinford.transport.EventLoop;

/**
 * What a gateway runs on its I/O thread when it is part of a fleet. Unless stated otherwise, all
 * methods are called within a batch of the event loop. A gateway without an extension loads none of
 * its classes.
 */
public interface FleetExtension {
    /**
     * Called once, right before {@link #join}.
     *
     * @param useCatalog puts a catalog into force, in place of the settings' own or an earlier one;
     *     to be called within a batch
     */
    default void setCatalogConsumer(Consumer<Catalog> useCatalog) {}

    /**
     * Called once, within the first batch and before any input.
     *
     * @param ioThreadExecutor runs tasks within a batch soon; may be called from any thread
     * @return the policy under which the gateway decides
     */
    FleetPolicy join(GatewayIdentity identity, Consumer<EventLoop.Task> ioThreadExecutor)
            throws IOException;

    /** Called every {@link #tickIntervalMs}. */
    void tick();

    double tickIntervalMs();

    /** The process drains: it goes on until every request that it has read is answered. */
    void onDrainStarted();

    /**
     * Every request is answered, and the process exits when this returns. Called on the shutdown
     * thread; it may block for a moment.
     */
    default void onDrained() {}
}
