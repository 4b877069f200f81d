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

/** The buffer of a connection, and the clock. */
public class ConnectionBufferTest {
    private static <T> T conduit(Class<T> type, java.util.function.ToIntFunction<ByteBuffer> io) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (self, method, args) -> io.applyAsInt((ByteBuffer) args[0])));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L, 50}, {2L, 3000}, {3L, 70_000}};
    }

    /**
     * Random reads, puts and writes of any size: each direction keeps its bytes and their order.
     */
    @Test(dataProvider = "seeds")
    public void bothDirectionsKeepTheirBytes(long seed, int most) throws IOException {
        Random chance = new Random(seed);
        BufferBudget room = new BufferBudget(1 << 22);
        ConnectionBuffer buf = new ConnectionBuffer(room);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int[] next = new int[2]; // the next byte to come in, and to be put
        StreamSourceConduit source =
                conduit(
                        StreamSourceConduit.class,
                        b -> {
                            int n = Math.min(b.remaining(), chance.nextInt(most));
                            for (int i = 0; i < n; i++) {
                                b.put((byte) next[0]++);
                            }
                            return n;
                        });
        StreamSinkConduit sink =
                conduit(
                        StreamSinkConduit.class,
                        b -> {
                            int n = Math.min(b.remaining(), chance.nextInt(most) / 2);
                            for (int i = 0; i < n; i++) {
                                out.write(b.get());
                            }
                            return n;
                        });
        int taken = 0;
        for (int step = 0; step < 3000; step++) {
            switch (chance.nextInt(4)) {
                case 0 -> buf.read(source);
                case 1 -> {
                    byte[] more = new byte[chance.nextInt(most)];
                    for (int i = 0; i < more.length; i++) {
                        more[i] = (byte) next[1]++;
                    }
                    buf.put(more, 0, more.length);
                }
                case 2 -> buf.write(sink);
                default -> {
                    int n = chance.nextInt(buf.unreadBytes() + 1);
                    for (int i = 0; i < n; i++) {
                        assertEquals(buf.bytes()[buf.readIndex() + i], (byte) taken++);
                    }
                    buf.consume(n);
                }
            }
            if (buf.unreadBytes() + buf.unwrittenBytes() > 4 * most) {
                buf.write(sink);
                taken += buf.unreadBytes();
                buf.consume(buf.unreadBytes());
            }
        }
        while (buf.unwrittenBytes() > 0) {
            buf.write(sink);
        }
        byte[] written = out.toByteArray();
        assertEquals(written.length, next[1]);
        for (int i = 0; i < written.length; i++) {
            assertEquals(written[i], (byte) i);
        }
        buf.release();
        assertEquals(room.availableBytes(), 1 << 22, "all bytes are released");
    }

    @Test
    public void budgetIsExceededByTwoLargeBuffers() {
        BufferBudget room = new BufferBudget(10_000);
        ConnectionBuffer one = new ConnectionBuffer(room);
        one.put(new byte[5000], 0, 5000);
        assertTrue(!room.isExceeded());
        ConnectionBuffer two = new ConnectionBuffer(room);
        two.put(new byte[5000], 0, 5000);
        assertTrue(room.isExceeded());
        two.release();
        assertTrue(!room.isExceeded());
    }

    @Test
    public void clockNeverStepsBackAndFollowsTheWallClock() {
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
