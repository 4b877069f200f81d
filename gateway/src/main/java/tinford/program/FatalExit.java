package tinford.program;

import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import tinford.logging.LineLogger;
import tinford.transport.EventLoop;

/**
 * Ends the process at once when one of its network threads has ended by a failure: it would live
 * on, serve no one, and not exit at SIGTERM. Needs no memory but what was allocated with it, as its
 * lack may be the failure.
 */
final class FatalExit implements Thread.UncaughtExceptionHandler {
    /** The exit code after such an end. */
    static final int EXIT_CODE = 3;

    private static final System.Logger LOG = System.getLogger("tinford.program");
    private static final double LOG_FLUSH_TIMEOUT_MS = 100;
    private static final String LINE =
            "tinford: network thread ended, exiting code=" + EXIT_CODE + "\n";
    private final byte[] line = LINE.getBytes(StandardCharsets.US_ASCII);

    private FatalExit() {}

    /** From now on the process ends with the loop's threads. */
    static void install(EventLoop loop) {
        loop.setThreadFailureHandler(new FatalExit());
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        try {
            LineLogger.writeEncoded(line);
            LOG.log(Level.ERROR, "failure thread=" + thread.getName(), failure);
        } catch (RuntimeException | Error e) {
            // The prepared line has to do.
        } finally {
            LineLogger.flush(LOG_FLUSH_TIMEOUT_MS);
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
