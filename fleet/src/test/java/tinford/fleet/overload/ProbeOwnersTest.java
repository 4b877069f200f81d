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

/** Which gateway probes an unhealthy server. */
public class ProbeOwnersTest {
    private final Server srv = new Server("a-1");

    private static FixedMembership fleet(int from, int until) {
        FixedMembership h = new FixedMembership(until);
        for (int g = from; g < until; g++) h.add(new GossipRecord(new Incarnation(g, 1), 1));
        return h;
    }

    @Test
    public void eachPartitionHasOneOwnerAndOnlyLostOwnersAreReplaced() {
        FixedMembership all = fleet(0, 14), lower = fleet(0, 7), upper = fleet(7, 14);
        for (int s = 0; s < 200; s++) {
            int owner = ProbeOwners.owner(s, all);
            assertEquals(ProbeOwners.owner(s, owner < 7 ? lower : upper), owner);
            assertTrue(ProbeOwners.owner(s, owner < 7 ? upper : lower) >= 0);
        }
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{1}, {5}, {40}, {150}};
    }

    /**
     * ProbeOwners that look once a second but tell nothing, and others that find out nothing: tries
     * at one ill server over two minutes.
     */
    @Test(dataProvider = "sizes")
    public void probesDoNotGrowWithTheNumberOfGateways(int n) {
        FixedMembership heard = fleet(0, n);
        ProbeOwners[] all = new ProbeOwners[n];
        for (int g = 0; g < n; g++) {
            all[g] = new ProbeOwners(new Random(g));
            all[g].update(0, new Incarnation(g, 1), heard);
            all[g].serverHealthChanged(srv, true);
        }
        int byOwner = 0, byOthers = 0;
        double[] triedAt = new double[n];
        for (double t = 100; t < 120_000; t += 100) {
            for (int g = 0; g < n; g++) {
                all[g].update(t, new Incarnation(g, 1), heard);
                if (t - triedAt[g] < 1000 || !all[g].mayProbe(srv)) continue;
                triedAt[g] = t;
                if (n == 1 || ProbeOwners.owner(ProbeOwners.hashOf(srv), heard) == g) byOwner++;
                else byOthers++;
                all[g].attemptSent(srv);
                all[g].serverHealthChanged(srv, true);
            }
        }
        assertTrue(byOwner >= 100 && byOwner <= 120, "owner " + byOwner);
        assertTrue(byOthers <= 40 && (n == 1 || byOthers > 0), "others " + byOthers);
    }

    @Test
    public void serverReportedHealthyIsProbedAtOnceAndFalseReportsWithGrowingBackoff() {
        FixedMembership heard = fleet(0, 5);
        int owner = ProbeOwners.owner(ProbeOwners.hashOf(srv), heard), other = (owner + 1) % 5;
        ProbeOwners o = new ProbeOwners(new Random(1));
        o.update(0, new Incarnation(other, 1), heard);
        o.serverHealthChanged(srv, true);
        assertFalse(o.mayProbe(srv));
        int tries = 0;
        for (double t = 100; t < 60_000; t += 100) {
            GossipRecord well = new GossipRecord(new Incarnation(owner, 1), (int) t);
            well.serverHealth.add(new GossipRecord.ServerHealth(ProbeOwners.hashOf(srv), false, 0));
            o.update(t, new Incarnation(other, 1), heard.add(well));
            if (!o.mayProbe(srv)) continue;
            if (tries++ == 0) assertTrue(t < 1000, "first at " + t);
            o.attemptSent(srv);
            o.serverHealthChanged(srv, true);
        }
        assertTrue(tries >= 2 && tries <= 12, "tries " + tries);
    }

    @Test
    public void oneGatewayAloneCannotMakeAHealthyServerUnhealthy() {
        FixedMembership heard = fleet(0, 5);
        ProbeOwners o = new ProbeOwners(new Random(1));
        int owner = ProbeOwners.owner(ProbeOwners.hashOf(srv), heard), self = (owner + 1) % 5;
        for (int liars = 1; liars <= 2; liars++) {
            GossipRecord lie =
                    new GossipRecord(
                            new Incarnation(
                                    (owner + liars) % 5 == self ? owner : (owner + liars) % 5, 1),
                            2);
            lie.serverHealth.add(new GossipRecord.ServerHealth(ProbeOwners.hashOf(srv), true, 0));
            o.update(5000, new Incarnation(self, 1), heard.add(lie));
            assertEquals(o.mayProbe(srv), liars < 2);
        }
    }
}
