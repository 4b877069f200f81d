package tinford.fleet.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.Server;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/** Choice of the gateways that probe an unhealthy server, and when they do. */
public class ProbeOwnersTest {
    private static final double UPDATE_INTERVAL_MS = 100;
    private static final int GATEWAYS = 5;

    private final Server server = new Server("a-1");
    private final int serverHash = ProbeOwners.hashOf(server);

    private static FixedMembership fleet(int from, int until) {
        FixedMembership membership = new FixedMembership(until);
        for (int gateway = from; gateway < until; gateway++) {
            membership.add(new GossipRecord(new Incarnation(gateway, 1), 1));
        }
        return membership;
    }

    private static Incarnation incarnation(int gateway) {
        return new Incarnation(gateway, 1);
    }

    @Test
    public void eachPartitionHasOneOwnerAndOnlyLostOwnersAreReplaced() {
        FixedMembership all = fleet(0, 14);
        FixedMembership lower = fleet(0, 7);
        FixedMembership upper = fleet(7, 14);
        for (int hash = 0; hash < 200; hash++) {
            int owner = ProbeOwners.owner(hash, all);
            assertEquals(ProbeOwners.owner(hash, owner < 7 ? lower : upper), owner);
            assertTrue(ProbeOwners.owner(hash, owner < 7 ? upper : lower) >= 0);
        }
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {5}, {40}, {150}};
    }

    /** The owner probes once per second; no gateway receives observations of the others. */
    @Test(dataProvider = "sizes")
    public void probesDoNotGrowWithTheNumberOfGateways(int gateways) {
        FixedMembership membership = fleet(0, gateways);
        ProbeOwners[] all = new ProbeOwners[gateways];
        for (int gateway = 0; gateway < gateways; gateway++) {
            all[gateway] = new ProbeOwners(new Random(gateway));
            all[gateway].update(0, incarnation(gateway), membership);
            all[gateway].serverHealthChanged(server, true);
        }
        int byOwner = 0;
        int byOthers = 0;
        double[] probedAtMs = new double[gateways];
        for (double nowMs = UPDATE_INTERVAL_MS; nowMs < 120_000; nowMs += UPDATE_INTERVAL_MS) {
            for (int gateway = 0; gateway < gateways; gateway++) {
                ProbeOwners owners = all[gateway];
                owners.update(nowMs, incarnation(gateway), membership);
                if (nowMs - probedAtMs[gateway] < 1000 || !owners.mayProbe(server)) {
                    continue;
                }
                probedAtMs[gateway] = nowMs;
                if (gateways == 1 || ProbeOwners.owner(serverHash, membership) == gateway) {
                    byOwner++;
                } else {
                    byOthers++;
                }
                owners.attemptSent(server);
                owners.serverHealthChanged(server, true);
            }
        }
        assertTrue(byOwner >= 100 && byOwner <= 120, "owner " + byOwner);
        assertTrue(byOthers <= 40 && (gateways == 1 || byOthers > 0), "others " + byOthers);
    }

    @Test
    public void serverReportedHealthyIsProbedAtOnceAndFalseReportsWithGrowingBackoff() {
        FixedMembership membership = fleet(0, GATEWAYS);
        int owner = ProbeOwners.owner(serverHash, membership);
        Incarnation self = incarnation((owner + 1) % GATEWAYS);
        ProbeOwners owners = new ProbeOwners(new Random(1));
        owners.update(0, self, membership);
        owners.serverHealthChanged(server, true);
        assertFalse(owners.mayProbe(server));
        int probes = 0;
        for (double nowMs = UPDATE_INTERVAL_MS; nowMs < 60_000; nowMs += UPDATE_INTERVAL_MS) {
            GossipRecord healthy = new GossipRecord(incarnation(owner), (int) nowMs);
            healthy.serverHealth.add(new GossipRecord.ServerHealth(serverHash, false, 0));
            owners.update(nowMs, self, membership.add(healthy));
            if (!owners.mayProbe(server)) {
                continue;
            }
            if (probes == 0) {
                assertTrue(nowMs < 1000, "first at " + nowMs);
            }
            probes++;
            owners.attemptSent(server);
            owners.serverHealthChanged(server, true);
        }
        assertTrue(probes >= 2 && probes <= 12, "probes " + probes);
    }

    @Test
    public void oneGatewayAloneCannotMakeAHealthyServerUnhealthy() {
        FixedMembership membership = fleet(0, GATEWAYS);
        ProbeOwners owners = new ProbeOwners(new Random(1));
        int owner = ProbeOwners.owner(serverHash, membership);
        int self = (owner + 1) % GATEWAYS;
        for (int reports = 1; reports <= 2; reports++) {
            int peer = (owner + reports) % GATEWAYS;
            GossipRecord record = new GossipRecord(incarnation(peer == self ? owner : peer), 2);
            record.serverHealth.add(new GossipRecord.ServerHealth(serverHash, true, 0));
            owners.update(5000, incarnation(self), membership.add(record));
            assertEquals(owners.mayProbe(server), reports < 2);
        }
    }
}
