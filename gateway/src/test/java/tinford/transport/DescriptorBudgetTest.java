package tinford.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.transport.DescriptorBudget.PeerKind;

/** The limit of each kind of peer, also while another process runs. */
public class DescriptorBudgetTest {
    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {
            {8, 0}, {20, 0}, {20, 4}, {24, 24}, {24, 99}, {88, 56}, {960, 480}, {(1 << 20) - 40, 0}
        };
    }

    @Test(dataProvider = "budgets")
    public void eachPeerKindHasItsLimit(int all, int aside) {
        DescriptorBudget pool = new DescriptorBudget(all);
        for (int i = 0; i < 2; i++) {
            pool.setReservedForOtherProcess(aside); // the second call changes nothing
        }
        int clients = acquireAll(pool, PeerKind.CLIENTS);
        int servers = acquireAll(pool, PeerKind.SERVERS);
        int services = acquireAll(pool, PeerKind.SERVICES);
        assertEquals(clients + servers + services, Math.max(0, all - aside));
        assertTrue(clients >= servers && servers >= clients - 1, clients + " and " + servers);
        assertTrue(
                services == Math.min(12, Math.max(0, all - aside) / 2), services + " for services");
        pool.setReservedForOtherProcess(0);
        int more = acquireAll(pool, PeerKind.CLIENTS);
        assertEquals(clients + more, pool.limit(PeerKind.CLIENTS));
        pool.setReservedForOtherProcess(aside);
        assertEquals(pool.shortage(PeerKind.CLIENTS), more + 1); // open connections stay
    }

    private static int acquireAll(DescriptorBudget pool, PeerKind with) {
        int n = 0;
        for (; pool.tryAcquire(with); n++) {}
        return n;
    }
}
