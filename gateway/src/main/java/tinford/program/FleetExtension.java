package tinford.program;

import java.io.IOException;
import java.util.function.Consumer;
import tinford.api.FleetPolicy;
import tinford.api.GatewayIdentity;
import tinford.routing.catalog.Catalog;
import tinford.transport.EventLoop;

/**
 * What acts beside a gateway for a whole fleet, on its I/O thread. A gateway that is handed none is
 * alone, and loads none of it.
 */
public interface FleetExtension {
    /**
     * Called once, within the first round and before anything comes in.
     *
     * @param enter from any thread: runs what it is given within a round, soon
     */
    FleetPolicy join(GatewayIdentity place, Consumer<EventLoop.Task> enter) throws IOException;

    /**
     * Called once, right before {@link #join}.
     *
     * @param use within a round: brings a catalog into force, in place of the settings' own or the
     *     one before
     */
    default void configures(Consumer<Catalog> use) {}

    /** Within a round, each {@link #every} ms. */
    void tick();

    double every();

    /** Within a round: this process is told to end, and goes on until all it took is answered. */
    void leaves();

    /**
     * On the thread that ends the process, once all that it took is answered: its last moment,
     * which may take one.
     */
    default void answered() {}
}
