package tinford.fleet.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * What every transport must keep, among gateways 0 to 2 that are open as {@link #transports} from
 * the start of each case.
 */
public abstract class TransportContract {
    static final int MOST = 256;

    /** More than this may not be kept for a receiver that stalls. */
    static final int KEPT = 4096;

    private static final int FLOOD = 20_000;
    private static final double FLOOD_MS = 1500;

    record Got(int from, byte[] message) {}

    List<Transport> transports = new ArrayList<>();
    final List<List<Got>> got = new ArrayList<>();

    abstract Transport open(int gateway, Transport.Receiver receiver);

    /** Lets the transport act until it is so, or fails after a while. */
    abstract void until(BooleanSupplier so);

    /**
     * From now on the way loses, doubles, delays and reorders, where the transport can be made to.
     */
    abstract void disturb();

    abstract void stall(int gateway);

    abstract void go(int gateway);

    /** A message from outside the fleet, where the transport bears any. */
    abstract void stranger(int to, byte[] message);

    void begin() {
        end();
        got.clear();
        for (int i = 0; i < 3; i++) {
            List<Got> list = Collections.synchronizedList(new ArrayList<>());
            got.add(list);
            transports.add(open(i, (from, message) -> list.add(new Got(from, message))));
        }
    }

    @AfterMethod(alwaysRun = true)
    void end() {
        transports.forEach(Transport::close);
        transports.clear();
    }

    static byte[] marked(int from, int number, int length) {
        byte[] m = new byte[length];
        new Random(from * 100_003L + number).nextBytes(m);
        ByteBuffer.wrap(m).putInt(from).putInt(number);
        return m;
    }

    /** Sends again and again until it has come: any one may be lost. */
    private void comes(int from, int to, byte[] message) {
        until(
                () -> {
                    transports.get(from).send(to, message);
                    return List.copyOf(got.get(to)).stream()
                            .anyMatch(g -> g.from == from && Arrays.equals(g.message, message));
                });
    }

    private void allGenuine(int to) {
        for (Got g : List.copyOf(got.get(to))) {
            ByteBuffer b = ByteBuffer.wrap(g.message);
            int from = b.getInt();
            assertEquals(g.from, from, "told as from another");
            assertEquals(g.message, marked(from, b.getInt(), g.message.length), "altered");
        }
    }

    @Test
    public void lostDoubledLateOutOfOrder() {
        begin();
        disturb();
        for (int i = 0; i < 200; i++) {
            transports.get(0).send(2, marked(0, i, 8 + i));
            transports.get(1).send(2, marked(1, i, MOST - i));
        }
        comes(0, 2, marked(0, 1000, 40));
        comes(1, 2, marked(1, 1000, 40));
        allGenuine(2);
    }

    @Test
    public void tooLong() {
        begin();
        assertEquals(transports.get(0).maxMessageBytes(), MOST);
        assertFalse(transports.get(0).send(1, marked(0, 1, MOST + 1)));
        assertFalse(transports.get(0).send(1, marked(0, 2, 70_000)));
        comes(0, 1, marked(0, 3, MOST));
        assertTrue(
                got.get(1).stream().allMatch(g -> Arrays.equals(g.message, marked(0, 3, MOST))),
                "a part of one too long came");
    }

    @Test
    public void toNobody() {
        begin();
        for (int to : new int[] {-1, 3, 1000, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
            assertFalse(transports.get(0).send(to, marked(0, 1, 20)), "to " + to);
        }
        transports.get(1).close();
        transports.get(0).send(1, marked(0, 2, 20));
        comes(0, 2, marked(0, 3, 20));
        assertTrue(got.get(1).isEmpty());
    }

    @Test
    public void fromStranger() {
        begin();
        stranger(1, marked(7, 1, 20));
        comes(0, 1, marked(0, 2, 20));
        allGenuine(1);
    }

    @Test
    public void restartedUnderItsNumber() {
        begin();
        comes(0, 1, marked(0, 1, 20));
        transports.get(1).close();
        transports.get(0).send(1, marked(0, 2, 20));
        int before = got.get(1).size();
        List<Got> later = Collections.synchronizedList(new ArrayList<>());
        transports.set(1, open(1, (from, message) -> later.add(new Got(from, message))));
        until(() -> transports.get(0).send(1, marked(0, 3, 20)) && !later.isEmpty());
        comes(1, 0, marked(1, 4, 20));
        assertEquals(got.get(1).size(), before, "taken by the process that was closed");
        allGenuine(0);
    }

    @Test
    public void closed() {
        begin();
        comes(0, 1, marked(0, 1, 20));
        for (int i = 0; i < 50; i++) {
            transports.get(0).send(1, marked(0, 2, 20));
        }
        transports.get(1).close();
        int before = got.get(1).size();
        transports.get(1).close();
        assertFalse(transports.get(1).send(2, marked(1, 3, 20)));
        transports.get(0).send(1, marked(0, 4, 20));
        comes(0, 2, marked(0, 5, 20));
        assertEquals(got.get(1).size(), before, "taken after it was closed");
        assertTrue(got.get(2).stream().allMatch(g -> g.from == 0), "sent after it was closed");
    }

    @Test
    public void stalledReceiver() {
        begin();
        comes(0, 1, marked(0, 0, 20));
        stall(1);
        long from = System.nanoTime();
        for (int i = 0; i < FLOOD; i++) {
            transports.get(0).send(1, marked(0, 1, MOST));
            assertTrue(
                    System.nanoTime() - from < FLOOD_MS * 1e6, "sends wait for the receiver: " + i);
        }
        go(1);
        comes(0, 1, marked(0, 2, 20));
        assertTrue(got.get(1).size() < KEPT, "kept " + got.get(1).size());
        allGenuine(1);
    }

    @Test
    public void takerThrows() {
        begin();
        transports.get(1).close();
        List<Got> list = got.get(1);
        transports.set(
                1,
                open(
                        1,
                        (from, message) -> {
                            list.add(new Got(from, message));
                            throw new IllegalStateException("a receiver's fault");
                        }));
        comes(0, 1, marked(0, 1, 20));
        comes(0, 1, marked(0, 2, 20));
    }

    @Test
    public void anyContent() {
        begin();
        byte[] all = new byte[256];
        for (int i = 0; i < 256; i++) {
            all[i] = (byte) i;
        }
        comes(0, 1, all);
        comes(0, 1, new byte[0]);
        byte[] changed = all.clone();
        comes(0, 2, changed);
        Arrays.fill(changed, (byte) 9);
        assertTrue(
                got.get(2).stream().allMatch(g -> Arrays.equals(g.message, all)),
                "changed by its sender after it was sent");
    }
}
