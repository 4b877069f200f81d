package tinford.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.jboss.logging.Logger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.transport.EventLoop;

/** The format of log lines, and the handling of a log that nobody reads. */
public class LineLoggerTest {
    private static final String TIME = "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d+Z ";

    @DataProvider
    static Object[][] entries() {
        return new Object[][] {
            {
                (Runnable) () -> System.getLogger("tinford.x").log(Level.INFO, "up"),
                TIME + "INFO tinford.x: up\n"
            },
            {
                (Runnable)
                        () ->
                                System.getLogger("tinford.x")
                                        .log(Level.WARNING, "{0} of {1}", 1, "two"),
                TIME + "WARNING tinford.x: 1 of two\n"
            },
            {
                (Runnable) () -> System.getLogger("tinford.x").log(Level.INFO, "braces {stay}"),
                TIME + "INFO tinford.x: braces \\{stay}\n"
            },
            {
                (Runnable)
                        () ->
                                System.getLogger("tinford.x")
                                        .log(
                                                Level.ERROR,
                                                "broke",
                                                new IllegalStateException("why")),
                "(?s)"
                        + TIME
                        + "ERROR tinford.x: broke\njava.lang.IllegalStateException: why\n\tat .*"
            },
            {(Runnable) () -> System.getLogger("tinford.x").log(Level.DEBUG, "fine"), ""},
            {(Runnable) () -> System.getLogger("org.x").log(Level.INFO, "version 1"), ""},
            {(Runnable) () -> Logger.getLogger("org.xnio.x").infof("version %s", 1), ""},
            {
                (Runnable) () -> Logger.getLogger("org.xnio.x").warnf("%s left", "two"),
                TIME + "WARNING org.xnio.x: two left\n"
            },
            {
                (Runnable) () -> Logger.getLogger("org.xnio.x").errorv("{0} left", "two"),
                TIME + "ERROR org.xnio.x: two left\n"
            },
            {
                (Runnable) () -> Logger.getLogger("org.xnio.x").fatal("100%"),
                TIME + "ERROR org.xnio.x: 100%\n"
            },
        };
    }

    @Test(dataProvider = "entries")
    public void entryHasExpectedFormat(Runnable entry, String expected) {
        PrintStream original = System.err;
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        System.setErr(new PrintStream(output, true));
        try {
            entry.run();
            LineLogger.flush(10_000);
        } finally {
            System.setErr(original);
        }
        assertTrue(output.toString().matches(expected), output.toString());
    }

    /**
     * Guards against a slow start: with only a fraction of a core, java.util.logging and JMX would
     * take a third of the start-up time.
     */
    @Test
    public void startLoadsNeitherJavaLoggingNorManagementBeans() throws Exception {
        Path loaded = Files.createTempFile("tinford", ".classes");
        try {
            Process process =
                    new ProcessBuilder(
                                    System.getProperty("java.home") + "/bin/java",
                                    "-Xshare:auto",
                                    "-Djavax.management.builder.initial=tinford.transport.DisabledMBeanServerBuilder",
                                    "-Xlog:class+load:file=" + loaded,
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    EventLoopProgram.class.getName())
                            .inheritIO()
                            .start();
            assertEquals(process.waitFor(), 0);
            List<String> lines = Files.readAllLines(loaded);
            assertTrue(lines.stream().anyMatch(l -> l.contains("org.xnio.XnioWorker ")));
            for (String unwantedClass :
                    List.of(
                            "java.util.logging.LogManager ",
                            "com.sun.jmx.mbeanserver.JmxMBeanServer ")) {
                assertFalse(lines.stream().anyMatch(l -> l.contains(unwantedClass)), unwantedClass);
            }
        } finally {
            Files.delete(loaded);
        }
    }

    /**
     * Guards against a logger that blocks: the pipe of standard error is full long before all lines
     * are logged.
     */
    @Test
    public void unreadLogDoesNotBlock() throws Exception {
        Process process =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-cp",
                                System.getProperty("java.class.path"),
                                ManyLinesProgram.class.getName())
                        .start();
        assertEquals(
                new String(process.getInputStream().readNBytes(5)),
                "done\n"); // the log is only read after this line
        String output = new String(process.getErrorStream().readAllBytes());
        assertEquals(process.waitFor(), 0);
        long written = output.lines().filter(l -> l.contains(" a long line ")).count();
        long dropped =
                output.lines()
                        .filter(l -> l.contains("lines dropped count="))
                        .mapToLong(l -> Long.parseLong(l.substring(l.indexOf('=') + 1)))
                        .sum();
        assertTrue(
                dropped > 0 && written + dropped == ManyLinesProgram.LINES + 1,
                written + " written, " + dropped + " dropped");
    }

    /** Logs more lines than the pipe and the queue hold, prints "done", and logs one more line. */
    public static final class ManyLinesProgram {
        static final int LINES = 5000;

        public static void main(String[] args) {
            System.Logger log = System.getLogger("tinford.x");
            for (int i = 0; i < LINES; i++) {
                log.log(Level.INFO, "a long line " + "x".repeat(100));
            }
            System.out.println("done");
            LineLogger.flush(10_000);
            log.log(Level.INFO, "a long line at the end");
            LineLogger.flush(10_000);
        }
    }

    /** Runs an event loop in a separate process. */
    public static final class EventLoopProgram {
        public static void main(String[] args) throws Exception {
            new EventLoop(() -> {}, 1, 1, System::nanoTime).close();
        }
    }
}
