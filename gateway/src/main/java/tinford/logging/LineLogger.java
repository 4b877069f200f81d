package tinford.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.Charset;
import java.text.MessageFormat;
import java.time.Instant;
import java.util.ResourceBundle;

/**
 * Provides the {@link System.Logger}s of this program. Each entry is one line on standard error,
 * with time, level and logger name. The JDK's own logging is not used, because it takes a quarter
 * of the CPU time of start-up.
 */
public final class LineLogger extends System.LoggerFinder {
    /**
     * The name prefix of this program's own loggers, which log from INFO on; those of libraries log
     * from WARNING on.
     */
    private static final String OWN_PREFIX = "tinford";

    private static final int TYPICAL_LINE_LENGTH = 120;

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new NamedLogger(name);
    }

    /** Whether entries of that logger and level are logged. */
    static boolean isLoggable(String loggerName, System.Logger.Level level) {
        System.Logger.Level lowest =
                loggerName.startsWith(OWN_PREFIX)
                        ? System.Logger.Level.INFO
                        : System.Logger.Level.WARNING;
        return level != System.Logger.Level.OFF && level.getSeverity() >= lowest.getSeverity();
    }

    /**
     * Queues one entry for standard error; never blocks.
     *
     * @param thrown a throwable whose stack trace follows on further lines, or null
     */
    static void write(String loggerName, System.Logger.Level level, String text, Throwable thrown) {
        StringBuilder line =
                new StringBuilder(TYPICAL_LINE_LENGTH)
                        .append(Instant.now())
                        .append(' ')
                        .append(level)
                        .append(' ')
                        .append(loggerName)
                        .append(": ")
                        .append(text);
        if (thrown != null) {
            StringWriter trace = new StringWriter();
            thrown.printStackTrace(new PrintWriter(trace));
            line.append('\n').append(trace.toString().stripTrailing());
        }
        LogWriter.offer(line.append('\n').toString().getBytes(Charset.defaultCharset()));
    }

    /**
     * Queues a line that is already encoded, for callers that may be out of memory; never blocks.
     *
     * @param line the encoded line, including its line end
     */
    public static void writeEncoded(byte[] line) {
        LogWriter.offer(line);
    }

    /** Waits until all queued lines are written or the timeout has passed. */
    public static void flush(double timeoutMs) {
        LogWriter.flush(timeoutMs);
    }

    private static final class NamedLogger implements System.Logger {
        private final String name;

        private NamedLogger(String name) {
            this.name = name;
        }

        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return LineLogger.isLoggable(name, level);
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
            if (isLoggable(level)) {
                write(name, level, localized(bundle, message), thrown);
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
            if (!isLoggable(level)) {
                return;
            }
            String text = localized(bundle, format);
            boolean hasParameters = parameters != null && parameters.length > 0;
            write(name, level, hasParameters ? MessageFormat.format(text, parameters) : text, null);
        }

        private static String localized(ResourceBundle bundle, String key) {
            boolean hasText = bundle != null && key != null && bundle.containsKey(key);
            return hasText ? bundle.getString(key) : key;
        }
    }
}
