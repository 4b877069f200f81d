package tinford.lab.scale;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.Request;
import tinford.api.Server;

/** When a dispatch needs a new connection. */
public class ConnectionPoolsTest {
    private static final double KEEP_ALIVE_MS = 1000;
    private static final Server SERVER = new Server("s");
    private ConnectionPools pools;

    @BeforeMethod
    public void start() {
        pools = new ConnectionPools(KEEP_ALIVE_MS);
        pools.started(0, 0);
        pools.started(1, 0);
    }

    private void play(int gateway, double at, double until, AttemptOutcome end) {
        Request request = new Request(1, null, null, 0, 1, false);
        pools.dispatched(gateway, request, SERVER, at);
        pools.dispatchEnded(gateway, request, 0, end, until);
    }

    private long handshakes() {
        return pools.handshakes(0, Double.POSITIVE_INFINITY);
    }

    @Test
    public void oneThatHasRestedIsUsedAgain() {
        play(0, 100, 200, AttemptOutcome.SUCCESS);
        play(0, 210, 300, AttemptOutcome.SUCCESS);
        assertEquals(handshakes(), 1);
        play(0, 305, 400, AttemptOutcome.SUCCESS);
        assertEquals(handshakes(), 2);
    }

    @Test
    public void oneAtATimeAndEachGatewayItsOwn() {
        Request open = new Request(1, null, null, 0, 1, false);
        pools.dispatched(0, open, SERVER, 100);
        play(0, 120, 200, AttemptOutcome.SUCCESS);
        play(1, 300, 400, AttemptOutcome.SUCCESS);
        assertEquals(handshakes(), 3);
        assertEquals(pools.mostAtAServer(0, 1000), 3);
    }

    @Test
    public void whatStoodIdleTooLongOrBrokeIsGone() {
        play(0, 100, 200, AttemptOutcome.SUCCESS);
        play(0, 200 + 0.75 * KEEP_ALIVE_MS + 1, 1000, AttemptOutcome.CONNECTION_LOST);
        play(0, 1100, 1200, AttemptOutcome.SUCCESS);
        assertEquals(handshakes(), 3);
    }

    @Test
    public void aRestartedGatewayHasNone() {
        play(0, 100, 200, AttemptOutcome.SUCCESS);
        pools.started(0, 300);
        play(0, 400, 500, AttemptOutcome.SUCCESS);
        assertEquals(handshakes(), 2);
        assertEquals(pools.dispatches(0, 1000), 2);
        assertEquals(pools.handshakesOfRestarted(300, 1000), 1);
        assertEquals(pools.handshakesOfRestarted(0, 300), 1);
    }
}
