package tinford.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.testing.FreePort;

/** A failing task or connection must not affect others. */
public class EventLoopTest {
    /** An error that can't be logged, because converting it to a string fails too. */
    private static final class UnprintableError extends OutOfMemoryError {
        private static final long serialVersionUID = 1;

        @Override
        public String toString() {
            throw new OutOfMemoryError();
        }
    }

    /** The failures as an enum, because TestNG prints a test's parameters. */
    private enum Fault {
        ILLEGAL_STATE,
        STACK_OVERFLOW,
        OUT_OF_MEMORY,
        UNPRINTABLE;

        void raise() {
            switch (this) {
                case ILLEGAL_STATE -> throw new IllegalStateException();
                case STACK_OVERFLOW -> throw new StackOverflowError();
                case OUT_OF_MEMORY -> throw new OutOfMemoryError();
                default -> throw new UnprintableError();
            }
        }
    }

    @DataProvider
    public Object[][] faults() {
        return Stream.of(Fault.values())
                .map(fault -> new Object[] {fault})
                .toArray(Object[][]::new);
    }

    /** Other tasks of the same batch and of later batches must still run. */
    @Test(dataProvider = "faults")
    public void failingTaskDoesNotStopOthers(Fault fault) throws Exception {
        EventLoop[] loop = new EventLoop[1];
        loop[0] = new EventLoop(() -> loop[0].runDueTasks(), 4, 1 << 16, System::nanoTime);
        CountDownLatch sameBatch = new CountDownLatch(1);
        CountDownLatch laterBatch = new CountDownLatch(1);
        loop[0].execute(
                () -> {
                    loop[0].submit(fault::raise);
                    loop[0].submit(sameBatch::countDown);
                });
        assertTrue(
                sameBatch.await(10, TimeUnit.SECONDS), "the other task of the batch did not run");
        loop[0].schedule(1, laterBatch::countDown);
        loop[0].execute(() -> {});
        assertTrue(laterBatch.await(10, TimeUnit.SECONDS), "the later task did not run");
        loop[0].close();
    }

    /** Guards against a process that keeps running, but serves nothing, without its I/O thread. */
    @Test
    public void threadFailureIsReported() throws Exception {
        EventLoop loop = new EventLoop(() -> {}, 4, 1 << 16, System::nanoTime);
        CompletableFuture<Thread> ended = new CompletableFuture<>();
        loop.setThreadFailureHandler((thread, failure) -> ended.complete(thread));
        loop.ioThread.execute(
                () -> {
                    throw new UnprintableError(); // ends the thread when XNIO tries to log it
                });
        assertSame(ended.get(10, TimeUnit.SECONDS), loop.ioThread);
        loop.worker.shutdownNow(); // stops the accept thread
    }

    /** Guards against a client that waits for a response on a connection whose event failed. */
    @Test(dataProvider = "faults")
    public void connectionWhoseEventFailsIsClosed(Fault fault) throws Exception {
        EventLoop[] loop = new EventLoop[1];
        loop[0] = new EventLoop(() -> loop[0].runDueTasks(), 4, 1 << 16, System::nanoTime);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", FreePort.find());
        new Listener(loop[0], address, false, 4, () -> new FailingConnection(loop[0], fault));
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(10_000);
            client.getOutputStream().write('x');
            assertEquals(client.getInputStream().read(), -1);
        }
        CompletableFuture<Long> availableBytes = new CompletableFuture<>();
        loop[0].execute(() -> availableBytes.complete(loop[0].memoryBudget.availableBytes()));
        assertEquals(availableBytes.get(10, TimeUnit.SECONDS).longValue(), 1 << 16);
        loop[0].close();
    }

    private static final class FailingConnection extends Connection {
        private final Fault fault;

        FailingConnection(EventLoop loop, Fault fault) {
            super(loop, 100, 100);
            this.fault = fault;
        }

        @Override
        protected DescriptorBudget.PeerKind peerKind() {
            return DescriptorBudget.PeerKind.CLIENTS;
        }

        @Override
        protected void onOpened() {}

        @Override
        protected void onReceived() {
            fault.raise();
        }

        @Override
        protected void onClosed(CloseReason reason) {}
    }
}
