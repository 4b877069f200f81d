package tinford.routing.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.Server;

/** Moves of discovery to another address. */
public class DiscoveryMoveTest extends DiscoveryFixture {
    private static final int MOVE_MS = 5000;

    /** Time until the second watch connection if the first one at the new address is silent. */
    private static final int SECOND_WATCH_MS = 1650;

    private static final Script ONE_HEARTBEAT = Script.at(0, HEAD + HEARTBEAT);
    private static final Script NEXT_LIST =
            aliveAfter(Script.at(0, HEAD + chunk(list(44, true, "s1"))));

    /** Script of the calls before the move; number of silent calls at the new address. */
    @DataProvider
    public Object[][] moves() {
        return new Object[][] {
            {ALIVE, 1}, {Script.SILENT, 1}, {UNAVAILABLE, 1}, {ONE_HEARTBEAT, 2}
        };
    }

    /** The list is in force in time, whatever the state of the watch when it moves. */
    @Test(dataProvider = "moves")
    public void listAtTheNewAddressIsInForceInTime(Script before, int silentCalls)
            throws Exception {
        start(1);
        play(MOVE_MS, before);
        List<ScriptedConnection> old =
                connections.stream().filter(ScriptedConnection::isOpen).toList();
        removedAtMs = -1;
        listener = listen();
        InetSocketAddress newAddress = address();
        dispatcher
                .loop()
                .execute(
                        () -> {
                            listed.put("s0", new Server("s0"));
                            watch.moveTo(newAddress);
                        });
        callTimesMs.clear();
        requestLines.clear();
        Script silent = Script.SILENT;
        Script[] one = {silent, NEXT_LIST};
        Script[] two = {silent, silent, NEXT_LIST};
        play(MOVE_MS + 4000, silentCalls == 1 ? one : two);
        int limitMs = silentCalls == 1 ? SECOND_WATCH_MS : 4000;
        assertTrue(
                removedAtMs >= 0 && removedAtMs - MOVE_MS <= limitMs,
                "removed at " + removedAtMs + ", called at " + callTimesMs);
        checkFirstRequest(before);
        for (ScriptedConnection connection : old) {
            assertFalse(connection.isOpen(), "connection to the old address is still open");
        }
    }

    /** The first call after a move asks from the version in force. */
    private void checkFirstRequest(Script before) {
        String version = before == ALIVE ? "&after=43 " : "&after=42 ";
        assertTrue(requestLines.get(0).contains(version), requestLines.toString());
    }

    /**
     * Script of the calls before the moves; ms between the two moves; whether the second move leads
     * back to the original address.
     */
    @DataProvider
    public Object[][] doubleMoves() {
        List<Object[]> all = new ArrayList<>();
        for (Script before : List.of(ALIVE, Script.SILENT, UNAVAILABLE, ONE_HEARTBEAT)) {
            for (int intervalMs : new int[] {0, 200, 1450, 3000}) {
                all.add(new Object[] {before, intervalMs, true});
                all.add(new Object[] {before, intervalMs, false});
            }
        }
        return all.toArray(Object[][]::new);
    }

    /** The second move happens while the call to the first new address is open. */
    @Test(dataProvider = "doubleMoves")
    public void lastOfTwoMovesCounts(Script before, int intervalMs, boolean back) throws Exception {
        start(2);
        play(MOVE_MS, before);
        removedAtMs = -1;
        listed.put("s0", new Server("s0"));
        ServerSocketChannel last = back ? listener : listen();
        listener = listen();
        InetSocketAddress between = address();
        dispatcher.loop().execute(() -> watch.moveTo(between));
        int secondMoveMs = MOVE_MS + intervalMs;
        play(secondMoveMs, Script.SILENT);
        listener = last;
        InetSocketAddress lastAddress = address();
        dispatcher.loop().execute(() -> watch.moveTo(lastAddress));
        callTimesMs.clear();
        requestLines.clear();
        play(secondMoveMs + STEP_MS, NEXT_LIST);
        assertEquals(removedAtMs, secondMoveMs);
        play(secondMoveMs + 1000, Script.SILENT);
        assertEquals(callTimesMs, List.of(secondMoveMs));
        checkFirstRequest(before);
        assertEquals(connections.stream().filter(ScriptedConnection::isOpen).count(), 1);
    }
}
