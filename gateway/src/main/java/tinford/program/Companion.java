package tinford.program;

import java.util.function.Consumer;
import tinford.api.Place;
import tinford.api.View;

/** What acts beside a gateway for a whole fleet. A gateway that is handed none is alone, and loads none of it. */
public interface Companion {
    /**
     * Called once, on the I/O thread, before anything else comes in.
     *
     * @param enter runs what it is given on the I/O thread, from any thread, soon
     * @param start of this process, Unix ms
     */
    View join(Place place, double start, Consumer<Runnable> enter);

    /** On the I/O thread, each {@link #every} ms. */
    void tick(double now);

    double every();

    /** This process is told to end: what it holds is given back as it comes free. */
    void leaves();
}
