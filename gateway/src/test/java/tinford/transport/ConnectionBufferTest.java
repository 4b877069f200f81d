package tinford.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/** Tests {@link ConnectionBuffer}, {@link MemoryBudget} and {@link Clock}. */
public class ConnectionBufferTest {
    private static <T> T conduit(
            Class<T> type, java.util.function.ToIntFunction<ByteBuffer> operation) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, args) -> operation.applyAsInt((ByteBuffer) args[0])));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L, 50}, {2L, 3000}, {3L, 70_000}};
    }

    /** Random reads, puts and writes of any size must keep the bytes of each direction in order. */
    @Test(dataProvider = "seeds")
    public void bothDirectionsKeepTheirBytes(long seed, int maxSize) throws IOException {
        Random random = new Random(seed);
        MemoryBudget budget = new MemoryBudget(1 << 22, 1);
        ConnectionBuffer buffer = new ConnectionBuffer(budget);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        int[] next = new int[2]; // the next byte to be received and the next to be put
        StreamSourceConduit source =
                conduit(
                        StreamSourceConduit.class,
                        b -> {
                            int n = Math.min(b.remaining(), random.nextInt(maxSize));
                            for (int i = 0; i < n; i++) {
                                b.put((byte) next[0]++);
                            }
                            return n;
                        });
        StreamSinkConduit sink =
                conduit(
                        StreamSinkConduit.class,
                        b -> {
                            int n = Math.min(b.remaining(), random.nextInt(maxSize) / 2);
                            for (int i = 0; i < n; i++) {
                                sent.write(b.get());
                            }
                            return n;
                        });
        int consumed = 0;
        for (int step = 0; step < 3000; step++) {
            switch (random.nextInt(4)) {
                case 0 -> buffer.read(source, Integer.MAX_VALUE);
                case 1 -> {
                    byte[] input = new byte[random.nextInt(maxSize)];
                    for (int i = 0; i < input.length; i++) {
                        input[i] = (byte) next[1]++;
                    }
                    buffer.put(input, 0, input.length);
                }
                case 2 -> buffer.write(sink);
                default -> {
                    int n = random.nextInt(buffer.unreadBytes() + 1);
                    for (int i = 0; i < n; i++) {
                        assertEquals(buffer.bytes()[buffer.readIndex() + i], (byte) consumed++);
                    }
                    buffer.consume(n);
                }
            }
            if (buffer.unreadBytes() + buffer.unwrittenBytes() > 4 * maxSize) {
                buffer.write(sink);
                consumed += buffer.unreadBytes();
                buffer.consume(buffer.unreadBytes());
            }
        }
        while (buffer.unwrittenBytes() > 0) {
            buffer.write(sink);
        }
        byte[] written = sent.toByteArray();
        assertEquals(written.length, next[1]);
        for (int i = 0; i < written.length; i++) {
            assertEquals(written[i], (byte) i);
        }
        buffer.release();
        assertEquals(budget.availableBytes(), 1 << 22, "all bytes are released");
    }

    @Test
    public void budgetIsExceededByTwoLargeBuffers() {
        MemoryBudget budget = new MemoryBudget(10_000, 1);
        ConnectionBuffer first = new ConnectionBuffer(budget);
        first.put(new byte[5000], 0, 5000);
        assertTrue(!budget.isExceeded());
        ConnectionBuffer second = new ConnectionBuffer(budget);
        second.put(new byte[5000], 0, 5000);
        assertTrue(budget.isExceeded());
        second.release();
        assertTrue(!budget.isExceeded());
    }

    @Test
    public void clockNeverGoesBackwardsAndFollowsTheWallClock() {
        Clock clock = new Clock();
        double last = 0;
        for (int i = 0; i < 100_000; i++) {
            double now = clock.nowMs();
            assertTrue(now >= last);
            last = now;
        }
        assertEquals(last, System.currentTimeMillis(), 1000);
    }
}
