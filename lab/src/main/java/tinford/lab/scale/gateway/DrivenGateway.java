package tinford.lab.scale.gateway;

import java.util.concurrent.Callable;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.lab.scale.count.Cost;
import tinford.settings.JsonFields;

/**
 * One gateway's real decisions and server table, driven by hand in virtual time. All calls but
 * {@link #onIoThread} and {@link #close} are made on its I/O thread, by a job handed to {@link
 * #onIoThread}.
 */
public interface DrivenGateway extends AutoCloseable {
    /** Hears of each dispatch and of its answer, at their virtual times. */
    interface DispatchListener {
        /** A request leaves for the server. */
        void dispatched(Server server, double now);

        /** The server's answer has come. */
        void answered(Server server, double now);
    }

    /** Runs the job on the I/O thread, waits for its end, and hands on its result or fault. */
    <T> T onIoThread(Callable<T> job) throws Exception;

    /** Milliseconds of virtual time. */
    double now();

    /** Lets the virtual time pass: answers come in as they are due, the timer runs each 50 ms. */
    void pass(double millis);

    /** Plays the timer until the ranking has been renewed, and tells what that round took. */
    Cost rank();

    /** A list in discovery's form, as a watch hands it to the server table. */
    void list(JsonFields list);

    /** One request arrives; the counter answers at once, the server after its service time. */
    void request(Tenant customer, RequestClass frontend, double units);

    /** The most that one round has taken since {@link #resetRounds}, field by field. */
    Cost largestRound();

    /** The sum of all rounds since {@link #resetRounds}, those of the timer left out. */
    Cost requestRounds();

    void resetRounds();

    void onDispatch(DispatchListener listener);

    @Override
    void close();
}
