package tinford.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.transport.DescriptorBudget.PeerKind;

/** The limit of each kind of peer, with and without descriptors reserved for another process. */
public class DescriptorBudgetTest {
    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {
            {8, 0}, {20, 0}, {20, 4}, {24, 24}, {24, 99}, {88, 56}, {960, 480}, {(1 << 20) - 40, 0}
        };
    }

    @Test(dataProvider = "budgets")
    public void eachPeerKindHasItsLimit(int total, int reserved) {
        DescriptorBudget budget = new DescriptorBudget(total);
        for (int i = 0; i < 2; i++) {
            budget.setReservedForOtherProcess(reserved); // a repeated call has no further effect
        }
        int clients = acquireAll(budget, PeerKind.CLIENTS);
        int servers = acquireAll(budget, PeerKind.SERVERS);
        int services = acquireAll(budget, PeerKind.SERVICES);
        assertEquals(clients + servers + services, Math.max(0, total - reserved));
        assertTrue(clients >= servers && servers >= clients - 1, clients + " and " + servers);
        assertTrue(
                services == Math.min(12, Math.max(0, total - reserved) / 2),
                services + " for services");
        budget.setReservedForOtherProcess(0);
        int more = acquireAll(budget, PeerKind.CLIENTS);
        assertEquals(clients + more, budget.limit(PeerKind.CLIENTS));
        budget.setReservedForOtherProcess(reserved);
        assertEquals(budget.shortage(PeerKind.CLIENTS), more + 1); // open connections stay open
    }

    private static int acquireAll(DescriptorBudget budget, PeerKind kind) {
        int count = 0;
        for (; budget.tryAcquire(kind); count++) {}
        return count;
    }
}
