package tinford.transport;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What one thing that came in does to the others. */
public class EventLoopTest {
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {new IllegalStateException()}, {new StackOverflowError()}, {new OutOfMemoryError()}
        };
    }

    /** However the handling of one ends, what came in with it and behind it is played, once. */
    @Test(dataProvider = "faults")
    public void aFaultInOneHoldsUpNoOther(Throwable fault) throws Exception {
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
        assertTrue(beside.await(10, TimeUnit.SECONDS), "what came with it");
        loop[0].schedule(1, later::countDown);
        loop[0].execute(() -> {});
        assertTrue(later.await(10, TimeUnit.SECONDS), "what came behind it");
        loop[0].close();
    }
}
