package tinford.logging;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.text.MessageFormat;
import java.time.Instant;
import java.util.ResourceBundle;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * The log behind System.Logger: one line on standard error for each entry, with time, level and
 * part, written by a thread of its own. It stands in for the JDK's own, whose set-up and formats
 * take a quarter of the processor time of a start.
 */
public final class LineLogger extends System.LoggerFinder {
    /**
     * Libraries tell of their versions at each start; of them, only what may need somebody is told.
     */
    private static final String OURS = "tinford";

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new Line(name);
    }

    static boolean told(String part, System.Logger.Level level) {
        System.Logger.Level least =
                part.startsWith(OURS) ? System.Logger.Level.INFO : System.Logger.Level.WARNING;
        return level != System.Logger.Level.OFF && level.getSeverity() >= least.getSeverity();
    }

    static void write(String part, System.Logger.Level level, String text, Throwable thrown) {
        StringBuilder line =
                new StringBuilder(120)
                        .append(Instant.now())
                        .append(' ')
                        .append(level)
                        .append(' ')
                        .append(part)
                        .append(": ")
                        .append(text);
        if (thrown != null) {
            StringWriter trace = new StringWriter();
            thrown.printStackTrace(new PrintWriter(trace));
            line.append('\n').append(trace.toString().stripTrailing());
        }
        Pipe.offer(line.toString());
    }

    /**
     * Before the end of the process: what was told is written, if somebody reads it within that
     * time.
     */
    public static void flush(double ms) {
        Pipe.flush(ms);
    }

    /**
     * Guards the I/O thread against a log that nobody reads: it never waits; what finds no place is
     * counted, and told of later.
     */
    private static final class Pipe {
        private static final int PLACES = 256;
        private static final ArrayBlockingQueue<String> LINES = new ArrayBlockingQueue<>(PLACES);
        private static final AtomicLong DROPPED = new AtomicLong();
        private static final AtomicLong OPEN = new AtomicLong(); // taken in and not written
        private static final Thread WRITER = new Thread(null, Pipe::write, "log", 128 << 10);

        static {
            WRITER.setDaemon(true);
            WRITER.start();
        }

        static void offer(String line) {
            OPEN.incrementAndGet();
            if (!LINES.offer(line)) {
                OPEN.decrementAndGet();
                DROPPED.incrementAndGet();
            }
        }

        static void flush(double ms) {
            long until = System.nanoTime() + (long) (ms * 1e6);
            while (OPEN.get() > 0 && System.nanoTime() < until) {
                LockSupport.parkNanos(1_000_000);
            }
        }

        private static void write() {
            while (true) {
                try {
                    String line = LINES.take();
                    long dropped = DROPPED.getAndSet(0);
                    if (dropped > 0) {
                        System.err.println(
                                Instant.now()
                                        + " WARNING tinford.logging: "
                                        + dropped
                                        + " lines found no place");
                    }
                    System.err.println(line);
                    OPEN.decrementAndGet();
                } catch (InterruptedException e) {
                    return; // nobody does
                }
            }
        }
    }

    private static final class Line implements System.Logger {
        private final String name;

        private Line(String name) {
            this.name = name;
        }

        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return told(name, level);
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String msg, Throwable thrown) {
            if (isLoggable(level)) {
                write(name, level, in(bundle, msg), thrown);
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... params) {
            if (isLoggable(level)) {
                String text = in(bundle, format);
                write(
                        name,
                        level,
                        params == null || params.length == 0
                                ? text
                                : MessageFormat.format(text, params),
                        null);
            }
        }

        private static String in(ResourceBundle bundle, String key) {
            return bundle != null && key != null && bundle.containsKey(key)
                    ? bundle.getString(key)
                    : key;
        }
    }
}
