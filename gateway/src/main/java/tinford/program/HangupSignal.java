package tinford.program;

import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/** SIGHUP, by which operators ask for a reload of the configuration. */
final class HangupSignal {
    private static final System.Logger LOG = System.getLogger("tinford.program");

    private HangupSignal() {}

    /**
     * Runs the action at each SIGHUP, on a thread of the JVM; without a handler the signal ends the
     * process. The JDK's only interface for signals is internal, and the compiler warns wherever it
     * is named; so it is used by reflection.
     */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler =
                    Proxy.newProxyInstance(
                            handlerType.getClassLoader(),
                            new Class<?>[] {handlerType},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handlerType).invoke(null, hangup, handler);
        } catch (ReflectiveOperationException e) {
            LOG.log(Level.WARNING, "configuration reload at SIGHUP not available error=" + e);
        }
    }
}
