package tinford.fleet.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Random;
import org.testng.annotations.Test;

/** What every store must do, whatever it is kept on. */
abstract class StoreContract {
    static final int LARGEST = 4096;
    static final double AHEAD = 1000;
    static final double NOW = 1_000_000;

    /** What outlives the process, and what may happen to it. */
    interface Place {
        /** A new process on the same disk. */
        Store open();

        /** As it lies there; null where nothing does. */
        byte[] bytes() throws IOException;

        void bytes(byte[] now) throws IOException;

        /** Whether it can ail so. */
        boolean ail(InMemoryStore.Fault fault);

        /** Writes and is killed before the step, from 0; false where the write has no such step. */
        boolean killedWrite(byte[] content, double now, int step) throws IOException;
    }

    abstract Place place() throws IOException;

    static byte[] content(int seed, int length) {
        byte[] made = new byte[length];
        new Random(seed).nextBytes(made);
        return made;
    }

    private static void holds(Place place, byte[] expected) {
        Store.Found found = place.open().read(NOW);
        assertEquals(found.content(), expected, found.why());
        assertNull(found.why());
    }

    private static void absent(Place place, String what) {
        Store.Found found = place.open().read(NOW);
        assertNull(found.content(), what);
        assertNotNull(found.why(), what);
        assertTrue(
                !found.why().isEmpty() && found.why().indexOf('\n') < 0, what + ": " + found.why());
    }

    private Place written(int seed, int length) throws IOException {
        Place place = place();
        place.open().write(content(seed, length), NOW);
        return place;
    }

    @Test
    public void nothingThenEachSizeThenMany() throws IOException {
        Place place = place();
        absent(place, "new");
        Store store = place.open();
        for (int i = 0; i < 60; i++) {
            byte[] content = content(i, i == 0 ? 0 : i == 1 ? LARGEST : i);
            store.write(content, NOW + i);
            assertEquals(store.read(NOW).content(), content);
            holds(place, content);
        }
        assertThrows(IOException.class, () -> store.write(new byte[LARGEST + 1], NOW));
        holds(place, content(59, 59));
    }

    @Test
    public void oldOrNewAfterAKillAtEachStep() throws IOException {
        int steps = 0;
        for (int step = 0; ; step++) {
            Place place = written(1, 100);
            if (!place.killedWrite(content(2, 200), NOW, step)) {
                holds(place, content(2, 200)); // acknowledged
                break;
            }
            steps++;
            byte[] found = place.open().read(NOW).content();
            assertTrue(
                    Arrays.equals(found, content(1, 100)) || Arrays.equals(found, content(2, 200)),
                    "mixed at step " + step);
            place.open().write(content(3, 50), NOW);
            holds(place, content(3, 50));
        }
        assertTrue(steps >= 1);
    }

    @Test
    public void tornOrDamagedIsAbsent() throws IOException {
        Place place = written(4, 120);
        byte[] whole = place.bytes();
        for (int length = 0; length < whole.length; length++) {
            place.bytes(Arrays.copyOf(whole, length));
            absent(place, "torn at " + length);
            byte[] flipped = whole.clone();
            flipped[length] ^= (byte) (1 << length % 8);
            place.bytes(flipped);
            absent(place, "flipped at " + length);
        }
        byte[] half = Arrays.copyOf(whole, whole.length);
        Arrays.fill(half, whole.length / 2, whole.length, (byte) 0);
        place.bytes(half);
        absent(place, "half of it never reached the disk");
        place.bytes(Arrays.copyOf(whole, whole.length + 1));
        absent(place, "longer than it says");
        place.bytes(whole);
        holds(place, content(4, 120));
    }

    @Test
    public void foreignLaterFutureTooLong() throws IOException {
        Place place = written(5, 10);
        byte[] whole = place.bytes();
        place.bytes("once upon a time, a file that another program wrote".getBytes());
        absent(place, "foreign");
        place.bytes(new byte[LARGEST * 2]);
        absent(place, "zeros, too long");
        place.bytes(ByteBuffer.wrap(whole.clone()).putInt(4, 2).array());
        absent(place, "later version");
        place.bytes(ByteBuffer.wrap(whole.clone()).putInt(16, Integer.MAX_VALUE).array());
        absent(place, "length beyond bounds");
        for (double ahead : new double[] {AHEAD + 1, Double.POSITIVE_INFINITY, Double.NaN}) {
            place.open().write(content(6, 10), NOW + ahead);
            absent(place, "dated ahead by " + ahead);
        }
        place.open().write(content(7, 10), NOW + AHEAD);
        holds(place, content(7, 10));
    }

    @Test
    public void aDiskThatAilsLeavesWhatWasThere() throws IOException {
        for (InMemoryStore.Fault fault : InMemoryStore.Fault.values()) {
            Place place = written(8, 80);
            if (!place.ail(fault)) {
                continue;
            }
            boolean may = fault == InMemoryStore.Fault.NONE || fault == InMemoryStore.Fault.SLOW;
            if (may) {
                place.open().write(content(9, 90), NOW);
            } else {
                assertThrows(IOException.class, () -> place.open().write(content(9, 90), NOW));
            }
            if (fault == InMemoryStore.Fault.UNREADABLE) {
                absent(place, "unreadable");
            }
            place.ail(InMemoryStore.Fault.NONE);
            holds(place, may ? content(9, 90) : content(8, 80));
        }
    }

    @Test
    public void lostOrOldContentIsNoHarm() throws IOException {
        Place place = written(10, 60);
        byte[] old = place.bytes();
        place.open().write(content(11, 61), NOW);
        place.bytes(old);
        holds(place, content(10, 60));
        place.bytes(null);
        absent(place, "lost");
        place.open().write(content(12, 62), NOW);
        holds(place, content(12, 62));
    }

    @Test
    public void closedTwice() throws IOException {
        Place place = place();
        Store store = place.open();
        store.write(content(13, 5), NOW);
        store.close();
        store.close();
        assertThrows(IOException.class, () -> store.write(content(14, 5), NOW));
        holds(place, content(13, 5));
    }
}
