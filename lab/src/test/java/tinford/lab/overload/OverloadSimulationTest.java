package tinford.lab.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import tinford.lab.LabLine;

/** What the fleet's view of the load is worth while half of the servers are lost. */
public class OverloadSimulationTest {
    private static final long SEED = 7;
    private static final int GATEWAYS = 5;
    private static final double WINDOW = 4000;

    private static OverloadResult play(OverloadSimulation.Mode mode) {
        return new OverloadSimulation(SEED, GATEWAYS, mode, WINDOW).run();
    }

    @Test
    public void gossipPassesMoreWorthAndCutGossipNoLess() {
        OverloadResult alone = play(OverloadSimulation.Mode.ALONE);
        OverloadResult gossip = play(OverloadSimulation.Mode.GOSSIP);
        OverloadResult cut = play(OverloadSimulation.Mode.CUT);
        assertTrue(gossip.worth() > alone.worth() + 0.02, gossip + " / " + alone);
        assertTrue(gossip.worth() > gossip.best() - 0.06, gossip.toString());
        assertTrue(gossip.dispatches() <= 1.1, gossip.toString());
        assertTrue(gossip.recoveryMs() <= 2 * WINDOW, gossip.toString());
        assertTrue(cut.worth() >= alone.worth() - 0.01, cut + " / " + alone);
    }

    @Test
    public void theSameSeedPlaysTheSame() {
        assertEquals(play(OverloadSimulation.Mode.GOSSIP), play(OverloadSimulation.Mode.GOSSIP));
    }

    @Test
    public void wrongWordsAreNamed() {
        assertEquals(LabLine.of().execute("overload", "--gateways", "0"), 2);
        assertEquals(LabLine.of().execute("overload", "--window", "-1"), 2);
    }
}
