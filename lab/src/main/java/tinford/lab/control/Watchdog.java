package tinford.lab.control;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Ends this process, and with it all that it started, when a run takes too long. */
final class Watchdog {
    private static final int EXIT_CODE = 1;
    private final CountDownLatch over = new CountDownLatch(1);

    Watchdog(String what, double seconds) {
        Thread thread = new Thread(() -> watch(what, seconds), "watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    private void watch(String what, double seconds) {
        try {
            if (!over.await((long) (seconds * 1000), TimeUnit.MILLISECONDS)) {
                System.err.println("lab: " + what + " did not end within " + seconds + " s");
                System.exit(EXIT_CODE);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The run is over in time. */
    void stop() {
        over.countDown();
    }
}
