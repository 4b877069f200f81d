package tinford.fleet.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** One task at a time, in the order of submission. */
public class SerialExecutorTest {
    @Test
    public void oneTaskIsSubmittedAtATime() {
        Queue<Runnable> submitted = new ArrayDeque<>();
        List<Integer> ran = new ArrayList<>();
        SerialExecutor serial = new SerialExecutor(submitted::add);
        for (int i = 0; i < 3; i++) {
            int number = i;
            serial.execute(() -> ran.add(number));
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(submitted.size(), 1);
            submitted.remove().run();
        }
        assertTrue(submitted.isEmpty());
        assertEquals(ran, List.of(0, 1, 2));
    }

    @Test
    public void failedTaskDoesNotBlockLaterOnes() {
        Queue<Runnable> submitted = new ArrayDeque<>();
        List<Integer> ran = new ArrayList<>();
        SerialExecutor serial = new SerialExecutor(submitted::add);
        serial.execute(
                () -> {
                    throw new IllegalStateException("on purpose");
                });
        serial.execute(() -> ran.add(1));
        submitted.remove().run();
        submitted.remove().run();
        assertEquals(ran, List.of(1));
    }

    @Test
    public void neverRunsTwoTasksAtOnceOnManyThreads() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(4);
        try {
            SerialExecutor serial = new SerialExecutor(threads);
            AtomicBoolean inside = new AtomicBoolean();
            AtomicBoolean met = new AtomicBoolean();
            CountDownLatch left = new CountDownLatch(2000);
            for (int i = 0; i < 2000; i++) {
                serial.execute(
                        () -> {
                            met.compareAndSet(false, !inside.compareAndSet(false, true));
                            inside.set(false);
                            left.countDown();
                        });
            }
            assertTrue(left.await(30, TimeUnit.SECONDS));
            assertFalse(met.get());
        } finally {
            threads.shutdownNow();
        }
    }
}
