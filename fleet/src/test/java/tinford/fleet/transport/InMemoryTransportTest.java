package tinford.fleet.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;

/** The network in memory keeps the contract, and does what it says on each way. */
@Test
public class InMemoryTransportTest extends TransportContract {
    InMemoryTransport.Network net;

    @Override
    void begin() {
        net = new InMemoryTransport.Network(3, MOST, 500, 7);
        super.begin();
    }

    @Override
    Transport open(int gateway, Transport.Receiver receiver) {
        return net.at(gateway, receiver);
    }

    @Override
    void until(BooleanSupplier so) {
        for (int i = 0; !so.getAsBoolean(); i++) {
            assertTrue(i < 2000, "did not come");
            net.advance(net.now() + 10);
        }
    }

    @Override
    void disturb() {
        net.link(new InMemoryTransport.Link(5, 50, 0.3, 0.3, 0.2, 500));
    }

    @Override
    void stall(int gateway) {
        net.pause(gateway);
    }

    @Override
    void go(int gateway) {
        net.resume(gateway);
    }

    @Override
    void stranger(int to, byte[] message) {
        assertThrows(IllegalArgumentException.class, () -> net.at(7, (f, m) -> {}));
    }

    public void waysAreAsSet() {
        InMemoryTransport.Network n = new InMemoryTransport.Network(3, 10, 1000, 1);
        List<Integer> to1 = new ArrayList<>();
        List<Integer> to0 = new ArrayList<>();
        Transport a = n.at(0, (from, m) -> to0.add((int) m[0]));
        Transport b = n.at(1, (from, m) -> to1.add((int) m[0]));
        n.link(0, 1, InMemoryTransport.Link.of(100, 0));
        n.cut(1, 0, true);
        b.send(0, new byte[] {1});
        a.send(1, new byte[] {2});
        n.advance(99);
        assertTrue(to1.isEmpty());
        n.advance(100);
        assertEquals(to1, List.of(2));
        assertTrue(to0.isEmpty(), "came through a cut");
        n.cut(1, 0, false);
        n.link(1, 0, new InMemoryTransport.Link(1, 100, 0.5, 0.5, 0, 0));
        for (int i = 0; i < 100; i++) {
            b.send(0, new byte[] {(byte) i});
        }
        n.advance(1000);
        assertTrue(to0.size() > 50 && to0.size() < 100, "1.5 times a half of 100: " + to0.size());
        assertFalse(to0.equals(to0.stream().sorted().toList()), "none overtook another");
    }
}
