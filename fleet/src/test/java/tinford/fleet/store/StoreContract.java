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

/** What each implementation of {@link CounterStore} must do. */
abstract class StoreContract {
    static final int MAX_CONTENT_BYTES = 4096;
    static final double MAX_FUTURE_MS = 1000;
    static final double NOW_MS = 1_000_000;

    /** What outlives the process, and the faults that a test injects. */
    interface StoreFixture {
        /** Opens the store as a new process on the same disk would. */
        Store open();

        /** The stored file; null where there is none. */
        byte[] file() throws IOException;

        void setFile(byte[] file) throws IOException;

        /** Returns false where the fixture can't simulate the fault. */
        boolean setFault(InMemoryStore.Fault fault);

        /**
         * Writes and is killed before the step, counted from 0.
         *
         * @return false where the write has no such step and was acknowledged
         */
        boolean writeInterrupted(byte[] content, double nowMs, int step) throws IOException;
    }

    abstract StoreFixture newFixture() throws IOException;

    static byte[] content(int seed, int length) {
        byte[] content = new byte[length];
        new Random(seed).nextBytes(content);
        return content;
    }

    private static void assertHolds(StoreFixture fixture, byte[] expected) {
        Store.ReadResult found = fixture.open().read(NOW_MS);
        assertEquals(found.content(), expected, found.absenceReason());
        assertNull(found.absenceReason());
    }

    private static void assertAbsent(StoreFixture fixture, String situation) {
        Store.ReadResult found = fixture.open().read(NOW_MS);
        assertNull(found.content(), situation);
        assertNotNull(found.absenceReason(), situation);
        assertTrue(
                !found.absenceReason().isEmpty() && found.absenceReason().indexOf('\n') < 0,
                situation + ": " + found.absenceReason());
    }

    private StoreFixture fixtureWith(int seed, int length) throws IOException {
        StoreFixture fixture = newFixture();
        fixture.open().write(content(seed, length), NOW_MS);
        return fixture;
    }

    @Test
    public void readsWhatWasWrittenOfEachSize() throws IOException {
        StoreFixture fixture = newFixture();
        assertAbsent(fixture, "new");
        Store store = fixture.open();
        for (int i = 0; i < 60; i++) {
            byte[] content = content(i, i == 0 ? 0 : i == 1 ? MAX_CONTENT_BYTES : i);
            store.write(content, NOW_MS + i);
            assertEquals(store.read(NOW_MS).content(), content);
            assertHolds(fixture, content);
        }
        assertThrows(IOException.class, () -> store.write(new byte[MAX_CONTENT_BYTES + 1], NOW_MS));
        assertHolds(fixture, content(59, 59));
    }

    @Test
    public void findsOldOrNewContentAfterAnInterruptionAtEachStep() throws IOException {
        int steps = 0;
        for (int step = 0; ; step++) {
            StoreFixture fixture = fixtureWith(1, 100);
            if (!fixture.writeInterrupted(content(2, 200), NOW_MS, step)) {
                assertHolds(fixture, content(2, 200)); // acknowledged
                break;
            }
            steps++;
            byte[] found = fixture.open().read(NOW_MS).content();
            assertTrue(
                    Arrays.equals(found, content(1, 100)) || Arrays.equals(found, content(2, 200)),
                    "mixed at step " + step);
            fixture.open().write(content(3, 50), NOW_MS);
            assertHolds(fixture, content(3, 50));
        }
        assertTrue(steps >= 1);
    }

    @Test
    public void treatsTornOrDamagedContentAsAbsent() throws IOException {
        StoreFixture fixture = fixtureWith(4, 120);
        byte[] whole = fixture.file();
        for (int length = 0; length < whole.length; length++) {
            fixture.setFile(Arrays.copyOf(whole, length));
            assertAbsent(fixture, "torn at " + length);
            byte[] flipped = whole.clone();
            flipped[length] ^= (byte) (1 << length % 8);
            fixture.setFile(flipped);
            assertAbsent(fixture, "flipped at " + length);
        }
        byte[] half = Arrays.copyOf(whole, whole.length);
        Arrays.fill(half, whole.length / 2, whole.length, (byte) 0);
        fixture.setFile(half);
        assertAbsent(fixture, "half of it never reached the disk");
        fixture.setFile(Arrays.copyOf(whole, whole.length + 1));
        assertAbsent(fixture, "longer than it says");
        fixture.setFile(whole);
        assertHolds(fixture, content(4, 120));
    }

    @Test
    public void treatsForeignLaterFutureOrOversizedContentAsAbsent() throws IOException {
        StoreFixture fixture = fixtureWith(5, 10);
        byte[] whole = fixture.file();
        fixture.setFile("once upon a time, a file that another program wrote".getBytes());
        assertAbsent(fixture, "foreign");
        fixture.setFile(new byte[MAX_CONTENT_BYTES * 2]);
        assertAbsent(fixture, "zeros, too long");
        fixture.setFile(ByteBuffer.wrap(whole.clone()).putInt(4, 2).array());
        assertAbsent(fixture, "later version");
        fixture.setFile(ByteBuffer.wrap(whole.clone()).putInt(16, Integer.MAX_VALUE).array());
        assertAbsent(fixture, "length beyond bounds");
        for (double ahead :
                new double[] {MAX_FUTURE_MS + 1, Double.POSITIVE_INFINITY, Double.NaN}) {
            fixture.open().write(content(6, 10), NOW_MS + ahead);
            assertAbsent(fixture, "dated ahead by " + ahead);
        }
        fixture.open().write(content(7, 10), NOW_MS + MAX_FUTURE_MS);
        assertHolds(fixture, content(7, 10));
    }

    @Test
    public void keepsTheOldContentOnADiskFault() throws IOException {
        for (InMemoryStore.Fault fault : InMemoryStore.Fault.values()) {
            StoreFixture fixture = fixtureWith(8, 80);
            if (!fixture.setFault(fault)) {
                continue;
            }
            boolean isWritable =
                    fault == InMemoryStore.Fault.NONE || fault == InMemoryStore.Fault.SLOW;
            if (isWritable) {
                fixture.open().write(content(9, 90), NOW_MS);
            } else {
                assertThrows(IOException.class, () -> fixture.open().write(content(9, 90), NOW_MS));
            }
            if (fault == InMemoryStore.Fault.UNREADABLE) {
                assertAbsent(fixture, "unreadable");
            }
            fixture.setFault(InMemoryStore.Fault.NONE);
            assertHolds(fixture, isWritable ? content(9, 90) : content(8, 80));
        }
    }

    @Test
    public void acceptsLostOrOlderContent() throws IOException {
        StoreFixture fixture = fixtureWith(10, 60);
        byte[] old = fixture.file();
        fixture.open().write(content(11, 61), NOW_MS);
        fixture.setFile(old);
        assertHolds(fixture, content(10, 60));
        fixture.setFile(null);
        assertAbsent(fixture, "lost");
        fixture.open().write(content(12, 62), NOW_MS);
        assertHolds(fixture, content(12, 62));
    }

    @Test
    public void rejectsWritesOnceClosed() throws IOException {
        StoreFixture fixture = newFixture();
        Store store = fixture.open();
        store.write(content(13, 5), NOW_MS);
        store.close();
        store.close();
        assertThrows(IOException.class, () -> store.write(content(14, 5), NOW_MS));
        assertHolds(fixture, content(13, 5));
    }
}
