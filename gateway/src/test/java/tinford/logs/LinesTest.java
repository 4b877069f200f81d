package tinford.logs;

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

public class LinesTest {
    private static final String TIME = "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d+Z ";

    @DataProvider
    static Object[][] entries() {
        return new Object[][] {
            {(Runnable) () -> System.getLogger("tinford.x").log(Level.INFO, "up"), TIME + "INFO tinford.x: up\n"},
            {(Runnable) () -> System.getLogger("tinford.x").log(Level.WARNING, "{0} of {1}", 1, "two"),
                TIME + "WARNING tinford.x: 1 of two\n"},
            {(Runnable) () -> System.getLogger("tinford.x").log(Level.INFO, "braces {stay}"), TIME + "INFO tinford.x: braces \\{stay}\n"},
            {(Runnable) () -> System.getLogger("tinford.x").log(Level.ERROR, "broke", new IllegalStateException("why")),
                "(?s)" + TIME + "ERROR tinford.x: broke\njava.lang.IllegalStateException: why\n\tat .*"},
            {(Runnable) () -> System.getLogger("tinford.x").log(Level.DEBUG, "fine"), ""},
            {(Runnable) () -> System.getLogger("org.x").log(Level.INFO, "version 1"), ""},
            {(Runnable) () -> Logger.getLogger("org.xnio.x").infof("version %s", 1), ""},
            {(Runnable) () -> Logger.getLogger("org.xnio.x").warnf("%s left", "two"), TIME + "WARNING org.xnio.x: two left\n"},
            {(Runnable) () -> Logger.getLogger("org.xnio.x").errorv("{0} left", "two"), TIME + "ERROR org.xnio.x: two left\n"},
            {(Runnable) () -> Logger.getLogger("org.xnio.x").fatal("100%"), TIME + "ERROR org.xnio.x: 100%\n"},
        };
    }

    @Test(dataProvider = "entries")
    public void aLine(Runnable entry, String want) {
        PrintStream before = System.err;
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        System.setErr(new PrintStream(said, true));
        try {
            entry.run();
        } finally {
            System.setErr(before);
        }
        assertTrue(said.toString().matches(want), said.toString());
    }

    /** Guards the time of a start at a part of a core: the JDK's log and its management beans took a third of it. */
    @Test
    public void aStartSetsUpNoOtherLogAndNoBeans() throws Exception {
        Path loaded = Files.createTempFile("tinford", ".classes");
        try {
            Process p = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xshare:auto",
                    "-Djavax.management.builder.initial=tinford.transport.NoBeans", "-Xlog:class+load:file=" + loaded,
                    "-cp", System.getProperty("java.class.path"), Starts.class.getName()).inheritIO().start();
            assertEquals(p.waitFor(), 0);
            List<String> lines = Files.readAllLines(loaded);
            assertTrue(lines.stream().anyMatch(l -> l.contains("org.xnio.XnioWorker ")));
            for (String none : List.of("java.util.logging.LogManager ", "com.sun.jmx.mbeanserver.JmxMBeanServer ")) {
                assertFalse(lines.stream().anyMatch(l -> l.contains(none)), none);
            }
        } finally {
            Files.delete(loaded);
        }
    }

    /** The loop of a gateway, as a process of its own. */
    public static final class Starts {
        public static void main(String[] args) throws Exception {
            new tinford.transport.Loop(() -> { }, 1, 1).close();
        }
    }
}
