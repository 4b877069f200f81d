package tinford.fleet.store;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.testng.annotations.Test;

/** The store in memory keeps the contract, and simulates the faults of a disk. */
public class InMemoryStoreTest extends StoreContract {
    /** A simulated disk and its stores. */
    static class InMemoryFixture implements StoreFixture {
        final InMemoryStore.Disk disk = new InMemoryStore.Disk();

        @Override
        public Store open() {
            return new InMemoryStore(disk, MAX_CONTENT_BYTES, MAX_FUTURE_MS);
        }

        @Override
        public byte[] file() {
            return disk.file();
        }

        @Override
        public void setFile(byte[] file) {
            disk.setFile(file);
        }

        @Override
        public boolean setFault(InMemoryStore.Fault fault) {
            disk.setFault(fault);
            return true;
        }

        @Override
        public boolean writeInterrupted(byte[] content, double nowMs, int step) throws IOException {
            if (step > 0) {
                open().write(content, nowMs);
            }
            return step == 0;
        }
    }

    @Override
    StoreFixture newFixture() {
        return new InMemoryFixture();
    }

    @Test
    public void simulatesLostOldAndSlowDisks() throws IOException {
        InMemoryStore.Disk disk = new InMemoryStore.Disk();
        Store store = new InMemoryStore(disk, MAX_CONTENT_BYTES, MAX_FUTURE_MS);
        store.write(content(1, 10), NOW_MS);
        disk.setFault(InMemoryStore.Fault.SLOW);
        store.write(content(2, 10), NOW_MS);
        assertEquals(disk.slowWriteMs(), 1000.0);
        disk.revertToPrevious();
        assertEquals(store.read(NOW_MS).content(), content(1, 10));
        disk.erase();
        assertEquals(store.read(NOW_MS).content(), null);
    }
}
