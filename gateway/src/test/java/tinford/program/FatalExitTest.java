package tinford.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import tinford.transport.EventLoop;

/** Guards against a process that lives on, and serves no one, without its I/O thread. */
public class FatalExitTest {
    private static final String LINE = "tinford: network thread ended, exiting code=3\n";

    /** A process whose I/O thread can't go on, for a failure that can't be printed. */
    static final class ThreadThatEnds {
        private static volatile boolean fails;

        private ThreadThatEnds() {}

        public static void main(String[] args) throws Exception {
            EventLoop[] loop = new EventLoop[1];
            loop[0] =
                    new EventLoop(
                            () -> loop[0].runDueTasks(), 4, 1 << 16, ThreadThatEnds::nanoTime);
            FatalExit.install(loop[0]);
            loop[0].execute(
                    () -> {
                        loop[0].schedule(1, () -> {});
                        fails = true;
                    });
        }

        private static long nanoTime() {
            if (fails) {
                throw new UnprintableError();
            }
            return System.nanoTime();
        }
    }

    private static final class UnprintableError extends OutOfMemoryError {
        private static final long serialVersionUID = 1;

        @Override
        public String toString() {
            throw new OutOfMemoryError();
        }
    }

    @Test
    public void processEndsWithItsIoThread() throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                ThreadThatEnds.class.getName())
                        .redirectErrorStream(true)
                        .start();
        try {
            assertTrue(process.waitFor(GatewayFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS), "alive");
            assertEquals(process.exitValue(), FatalExit.EXIT_CODE);
            byte[] output = process.getInputStream().readAllBytes();
            assertTrue(new String(output, StandardCharsets.US_ASCII).contains(LINE));
        } finally {
            process.destroyForcibly();
        }
    }
}
