package tinford.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.transport.DescriptorBudget.PeerKind;

/** Each party's part of the descriptors, also while another process has some. */
public class DescriptorBudgetTest {
    @DataProvider
    public Object[][] pools() {
        return new Object[][] {
            {8, 0}, {20, 0}, {20, 4}, {24, 24}, {24, 99}, {88, 56}, {960, 480}, {(1 << 20) - 40, 0}
        };
    }

    @Test(dataProvider = "pools")
    public void nobodyTakesWhatAnotherNeeds(int all, int aside) {
        DescriptorBudget pool = new DescriptorBudget(all);
        for (int i = 0; i < 2; i++) {
            pool.setReservedForOtherProcess(aside); // said twice it is taken away once
        }
        int clients = take(pool, PeerKind.CLIENTS);
        int servers = take(pool, PeerKind.SERVERS);
        int services = take(pool, PeerKind.SERVICES);
        assertEquals(clients + servers + services, Math.max(0, all - aside));
        assertTrue(clients >= servers && servers >= clients - 1, clients + " and " + servers);
        assertTrue(
                services == Math.min(12, Math.max(0, all - aside) / 2), services + " for services");
        pool.setReservedForOtherProcess(0);
        int more = take(pool, PeerKind.CLIENTS);
        assertEquals(clients + more, pool.limit(PeerKind.CLIENTS));
        pool.setReservedForOtherProcess(aside);
        assertEquals(pool.shortage(PeerKind.CLIENTS), more + 1); // those that are open stay
    }

    private static int take(DescriptorBudget pool, PeerKind with) {
        int n = 0;
        for (; pool.tryAcquire(with); n++) {}
        return n;
    }
}
