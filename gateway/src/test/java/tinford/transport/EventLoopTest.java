package tinford.transport;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The isolation of tasks from one another. */
public class EventLoopTest {
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {new IllegalStateException()}, {new StackOverflowError()}, {new OutOfMemoryError()}
        };
    }

    /** Tasks of the same batch and of later ones run. */
    @Test(dataProvider = "faults")
    public void failingTaskStopsNoOther(Throwable fault) throws Exception {
        EventLoop[] loop = new EventLoop[1];
        loop[0] = new EventLoop(() -> loop[0].runDueTasks(), 4, 1 << 16, System::nanoTime);
        CountDownLatch beside = new CountDownLatch(1);
        CountDownLatch later = new CountDownLatch(1);
        loop[0].execute(
                () -> {
                    loop[0].submit(
                            () -> {
                                if (fault instanceof Error e) {
                                    throw e;
                                }
                                throw (RuntimeException) fault;
                            });
                    loop[0].submit(beside::countDown);
                });
        assertTrue(beside.await(10, TimeUnit.SECONDS), "the task of the same batch");
        loop[0].schedule(1, later::countDown);
        loop[0].execute(() -> {});
        assertTrue(later.await(10, TimeUnit.SECONDS), "a later task");
        loop[0].close();
    }
}
