package tinford.fleet.store;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import org.testng.annotations.Test;

/** The store in memory keeps the contract, and its faults show. */
public class InMemoryStoreTest extends StoreContract {
    /** A platter and its store. */
    static class InMemory implements Place {
        final InMemoryStore.Platter platter = new InMemoryStore.Platter();

        @Override
        public Store open() {
            return new InMemoryStore(platter, LARGEST, AHEAD);
        }

        @Override
        public byte[] bytes() {
            return platter.bytes();
        }

        @Override
        public void bytes(byte[] now) {
            platter.bytes(now);
        }

        @Override
        public boolean ail(InMemoryStore.Fault fault) {
            platter.fault(fault);
            return true;
        }

        @Override
        public boolean killedWrite(byte[] content, double now, int step) throws IOException {
            if (step > 0) {
                open().write(content, now);
            }
            return step == 0;
        }
    }

    @Override
    Place place() {
        return new InMemory();
    }

    @Test
    public void contentIsLostOrOldOnDemand() throws IOException {
        InMemoryStore.Platter platter = new InMemoryStore.Platter();
        Store store = new InMemoryStore(platter, LARGEST, AHEAD);
        store.write(content(1, 10), NOW);
        platter.fault(InMemoryStore.Fault.SLOW);
        store.write(content(2, 10), NOW);
        assertEquals(platter.slowMs(), 1000.0);
        platter.back();
        assertEquals(store.read(NOW).content(), content(1, 10));
        platter.lose();
        assertEquals(store.read(NOW).content(), null);
    }
}
