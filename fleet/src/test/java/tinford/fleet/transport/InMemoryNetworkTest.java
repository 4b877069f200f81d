package tinford.fleet.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.testng.annotations.Test;

/** The in-memory network fulfils the transport contract, and its links behave as configured. */
@Test
public class InMemoryNetworkTest extends TransportContract {
    InMemoryNetwork network;

    @Override
    void openAll() {
        network = new InMemoryNetwork(3, MAX_MESSAGE_BYTES, 500, 7);
        super.openAll();
    }

    @Override
    Transport open(int gateway, Transport.Receiver receiver) {
        return network.open(gateway, receiver);
    }

    @Override
    void awaitCondition(BooleanSupplier condition) {
        for (int i = 0; !condition.getAsBoolean(); i++) {
            assertTrue(i < 2000, "not received within 2000 steps");
            network.advance(network.nowMs() + 10);
        }
    }

    @Override
    void degradeLinks() {
        network.setLink(new InMemoryNetwork.Link(5, 50, 0.3, 0.3, 0.2, 500));
    }

    @Override
    void stall(int gateway) {
        network.pause(gateway);
    }

    @Override
    void resume(int gateway) {
        network.resume(gateway);
    }

    @Override
    void sendFromUnknownSender(int to, byte[] message) {
        assertThrows(IllegalArgumentException.class, () -> network.open(7, (f, m) -> {}));
    }

    public void linksBehaveAsSet() {
        InMemoryNetwork n = new InMemoryNetwork(3, 10, 1000, 1);
        List<Integer> to1 = new ArrayList<>();
        List<Integer> to0 = new ArrayList<>();
        Transport a = n.open(0, (from, m) -> to0.add((int) m[0]));
        Transport b = n.open(1, (from, m) -> to1.add((int) m[0]));
        n.setLink(0, 1, InMemoryNetwork.Link.of(100, 0));
        n.setCut(1, 0, true);
        b.send(0, new byte[] {1});
        a.send(1, new byte[] {2});
        n.advance(99);
        assertTrue(to1.isEmpty());
        n.advance(100);
        assertEquals(to1, List.of(2));
        assertTrue(to0.isEmpty(), "received over a cut link");
        n.setCut(1, 0, false);
        n.setLink(1, 0, new InMemoryNetwork.Link(1, 100, 0.5, 0.5, 0, 0));
        for (int i = 0; i < 100; i++) {
            b.send(0, new byte[] {(byte) i});
        }
        n.advance(1000);
        assertTrue(
                to0.size() > 50 && to0.size() < 100,
                "expected about 75 of 100 with half lost and half duplicated: " + to0.size());
        assertFalse(to0.equals(to0.stream().sorted().toList()), "no message was reordered");
    }
}
