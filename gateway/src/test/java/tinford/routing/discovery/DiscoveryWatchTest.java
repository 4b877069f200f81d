package tinford.routing.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses that the watch accepts, and when it opens a second connection to discovery. */
public class DiscoveryWatchTest extends DiscoveryFixture {
    /** Time until a second watch connection is opened if the first never sent a line. */
    private static final int SECOND_WATCH_MS = 1650;

    /** Time after the last line until a second watch connection is opened. */
    private static final int AFTER_LINES_MS = 2950;

    /** Time until a third watch connection is opened if the second one is silent too. */
    private static final int THIRD_WATCH_MS = 4800;

    private static final String FIRST_HEARTBEAT = HEAD + HEARTBEAT;
    private static final String HALF_LINE =
            HEAD
                    + Integer.toHexString(LIST_WITHOUT_S0.length())
                    + "\r\n"
                    + LIST_WITHOUT_S0.substring(0, 40);
    private static final String S0_REMOVED =
            list(43, false, "{\"host\":\"s0\",\"health\":\"gone\"}");

    /** Name; start of the silence; time for the change to be in force; connections; scripts. */
    @DataProvider
    public Object[][] silences() {
        Script stopsMidway =
                Script.at(0, FIRST_HEARTBEAT).then(2000, HEARTBEAT).then(4000, HEARTBEAT);
        Script firstHeartbeat = Script.at(0, FIRST_HEARTBEAT);
        Script half = Script.at(0, HALF_LINE);
        Script head = Script.at(0, HEAD);
        Script silent = Script.SILENT;
        Script heartbeatAndHalf =
                Script.at(0, FIRST_HEARTBEAT + HALF_LINE.substring(HEAD.length()));
        Script slowHeartbeat = Script.at(1600, FIRST_HEARTBEAT);
        Script blanks = trickle(HEAD, " ");
        return new Object[][] {
            {"sent at once", 0, 50, 1, scripts(ALIVE)},
            {"first line after 2 s", 0, 2000, 2, scripts(ALIVE.delayedBy(2000))},
            {"silent from the start", 0, SECOND_WATCH_MS, 2, scripts(silent, ALIVE)},
            {
                "silent from the start, the next too",
                0,
                THIRD_WATCH_MS,
                3,
                scripts(silent, silent, ALIVE)
            },
            {"silent midway", 4000, AFTER_LINES_MS, 2, scripts(stopsMidway, ALIVE)},
            {
                "silent midway, the next too",
                4000,
                THIRD_WATCH_MS,
                3,
                scripts(stopsMidway, silent, ALIVE)
            },
            {"heartbeats stop after one", 0, AFTER_LINES_MS, 2, scripts(firstHeartbeat, ALIVE)},
            {"half a line", 0, SECOND_WATCH_MS, 2, scripts(half, ALIVE)},
            {
                "half a line, behind a heartbeat and anew",
                0,
                THIRD_WATCH_MS,
                3,
                scripts(heartbeatAndHalf, half, ALIVE)
            },
            {
                "half an object and empty lines",
                0,
                SECOND_WATCH_MS,
                2,
                scripts(halfObjectAndEmptyLines(), ALIVE)
            },
            {
                "bytes that make no line",
                0,
                SECOND_WATCH_MS,
                2,
                scripts(trickle(HEAD, "{\"x\":3,"), ALIVE)
            },
            {"blanks that make no line", 0, THIRD_WATCH_MS, 3, scripts(blanks, blanks, ALIVE)},
            {"a head", 0, SECOND_WATCH_MS, 2, scripts(head, ALIVE)},
            {"a head, twice", 0, THIRD_WATCH_MS, 3, scripts(head, head, ALIVE)},
            {"answers after 3 s, each time", 0, 3000, 2, scripts(ALIVE.delayedBy(3000))},
            {
                "silent midway, then answers after 2.5 s",
                4000,
                AFTER_LINES_MS + 2500,
                3,
                scripts(stopsMidway, ALIVE.delayedBy(2500))
            },
            {
                "an old one sends a heartbeat while the next is open",
                0,
                4550,
                3,
                scripts(slowHeartbeat, ALIVE.delayedBy(300), ALIVE)
            },
        };
    }

    private static Script halfObjectAndEmptyLines() {
        List<String> texts = new ArrayList<>();
        texts.add(HEAD + chunk("{\"seq\":43,\n"));
        for (int i = 0; i < 8; i++) {
            texts.add(chunk("\n"));
        }
        return Script.every(1000, texts);
    }

    /** Name; time of the failure; time for the change to be in force; connections; scripts. */
    @DataProvider
    public Object[][] failures() {
        Script firstHeartbeatThenEnd = Script.at(0, FIRST_HEARTBEAT + "0\r\n\r\n");
        Script noHttp = Script.at(0, "what\r\n\r\n");
        Script noJson = Script.at(0, HEAD + chunk("{]\n"));
        Script noVersion = Script.at(0, HEAD + chunk("{\"seq\":\"43\"}\n"));
        Script cut = Script.at(0, HALF_LINE).thenClose(0);
        Script reset = Script.at(0, HALF_LINE).thenReset(0);
        String nested = "{\"seq\":43,\"x\":" + "{\"a\":".repeat(950) + "1" + "}".repeat(951) + "\n";
        return new Object[][] {
            {"503, twice", 0, 950, 3, scripts(UNAVAILABLE, UNAVAILABLE, ALIVE)},
            {"garbage, twice", 0, 950, 3, scripts(noHttp, noJson, ALIVE)},
            {"a list without a version", 0, 350, 2, scripts(noVersion, ALIVE)},
            {
                "ends at once, twice",
                0,
                950,
                3,
                scripts(firstHeartbeatThenEnd, Script.closeAt(0), ALIVE)
            },
            {"cut, twice", 0, 950, 3, scripts(cut, reset, ALIVE)},
            {"a field nested deep", 0, 350, 2, scripts(Script.at(0, HEAD + chunk(nested)), ALIVE)},
        };
    }

    /** Name; time for the change to be in force; script of the first and only connection. */
    @DataProvider
    public Object[][] forms() {
        String indented = indented(LIST_WITHOUT_S0);
        String reordered = LIST_WITHOUT_S0.replace("\"site\"", "\"x\":[{\"y\":null},[]],\"site\"");
        String unknownFields =
                reordered.replace("\"whole\"", "\"z\":{\"u\":[1e9,\"\\u00e9\"]},\"whole\"");
        String restarted = host("s9", "ready").replace("\"born_ms\":0", "\"born_ms\":5000");
        Script older =
                Script.at(0, HEAD + chunk(LIST_WITHOUT_S0))
                        .then(300, chunk(list(41, true, "s0", "s1", "s2")));
        Script twice =
                Script.at(0, HEAD + chunk(S0_REMOVED + S0_REMOVED)).then(300, chunk(S0_REMOVED));
        Script twoPieces =
                Script.at(0, HEAD + chunk(indented.substring(0, 31)))
                        .then(500, chunk(indented.substring(31)));
        return new Object[][] {
            {"indented, in one chunk", 50, Script.at(0, HEAD + chunk(indented))},
            {"indented, in two pieces", 550, twoPieces},
            {"indented, a chunk a line", 50, Script.at(0, HEAD + chunkEachLine(indented))},
            {"late and older than the one in force", 50, older},
            {
                "back under another id",
                50,
                Script.at(0, HEAD + chunk(list(43, true, "s1", restarted)))
            },
            {"removed, as a change", 50, Script.at(0, HEAD + chunk(S0_REMOVED))},
            {"twice in one chunk, and again", 50, twice},
            {"with unknown fields", 50, Script.at(0, HEAD + chunk(unknownFields))},
        };
    }

    private static Script[] scripts(Script... scripts) {
        return scripts;
    }

    private static String chunkEachLine(String text) {
        StringBuilder chunks = new StringBuilder();
        for (String line : text.split("(?<=\n)")) {
            chunks.append(chunk(line));
        }
        return chunks.toString();
    }

    /**
     * A watch that sends no complete line is replaced early enough for the change to be in time.
     */
    @Test(dataProvider = "silences")
    public void changeIsInForceInTimeWhenAWatchIsSilent(
            String name, int fromMs, int withinMs, int calls, Script[] scripts) throws Exception {
        checkChangeInForce(fromMs, withinMs, calls, scripts);
    }

    @Test(dataProvider = "failures")
    public void changeIsInForceInTimeWhenACallFails(
            String name, int fromMs, int withinMs, int calls, Script[] scripts) throws Exception {
        checkChangeInForce(fromMs, withinMs, calls, scripts);
    }

    @Test(dataProvider = "forms")
    public void listIsReadInEachForm(String name, int withinMs, Script first) throws Exception {
        checkChangeInForce(0, withinMs, 1, aliveAfter(first));
    }

    private void checkChangeInForce(int fromMs, int withinMs, int calls, Script... scripts)
            throws Exception {
        for (long seed = 1; seed <= 4; seed++) {
            clear();
            prepare();
            start(seed);
            play(11_000, scripts);
            String seen = "s0 removed at " + removedAtMs + " ms, called at " + callTimesMs;
            boolean inTime = removedAtMs >= 0 && removedAtMs - fromMs <= withinMs;
            assertTrue(inTime && withinMs <= DEADLINE_MS, seen);
            assertEquals(callTimesMs.size(), calls, "called at " + callTimesMs);
            assertTrue(
                    !listed.containsKey("s0") && listed.containsKey("s1"),
                    "servers listed: " + listed);
            assertTrue(requestLines.get(0).contains("&after=42 "), requestLines.toString());
        }
    }

    /** Script of each call; most calls in 20 s; time within which the end of the outage is seen. */
    @DataProvider
    public Object[][] outages() {
        return new Object[][] {
            {UNAVAILABLE, 48, 800},
            {Script.SILENT, 10, 2800},
            {Script.at(0, HEAD), 10, 2800},
            {Script.resetAt(0), 48, 800},
            {Script.at(0, FIRST_HEARTBEAT).thenClose(0), 48, 800},
            {Script.at(0, HEAD + chunk("\n\n{]\n")), 48, 800}
        };
    }

    /**
     * During an outage discovery is called at decreasing rate, on at most two connections. The list
     * that is sent after the outage is in force at once.
     */
    @Test(dataProvider = "outages")
    public void longOutageIsPolledRarelyAndItsEndSeen(Script outage, int maxCalls, int withinMs)
            throws Exception {
        for (boolean resumes : new boolean[] {false, true}) {
            clear();
            prepare();
            start(3);
            play(20_000, outage);
            int calls = callTimesMs.size();
            assertTrue(calls >= 5 && calls <= maxCalls, calls + " calls");
            List<ScriptedConnection> left =
                    connections.stream().filter(ScriptedConnection::isOpen).toList();
            assertTrue(left.size() <= 2, left.size() + " connections open at once");
            if (resumes) {
                Script rest = aliveAfter(Script.at(0, chunk(LIST_WITHOUT_S0)));
                boolean headSent = !outage.steps().isEmpty();
                left.forEach(connection -> connection.restart(headSent ? rest : ALIVE));
            }
            play(24_000, ALIVE);
            int tookMs = removedAtMs - 20_000;
            int limitMs = resumes && !left.isEmpty() ? 0 : withinMs;
            assertTrue(tookMs >= 0 && tookMs <= limitMs, "list in force after ms: " + tookMs);
        }
    }

    /** If only two descriptors are available, the third watch uses the one of the first at once. */
    @Test
    public void thirdWatchTakesTheDescriptorOfTheFirst() throws Exception {
        List<List<Integer>> seen = new ArrayList<>();
        for (int budget : new int[] {20, 4}) { // of 4 descriptors, 2 are for discovery
            clear();
            prepare();
            descriptors = budget;
            start(1);
            play(8000, Script.SILENT, Script.SILENT, Script.SILENT, ALIVE);
            seen.add(List.copyOf(callTimesMs));
        }
        assertEquals(seen.get(0).size(), 4);
        assertEquals(seen.get(1), seen.get(0));
    }

    @Test
    public void faultInACallbackDoesNotStopTheWatch() throws Exception {
        start(1);
        watch.onLost(
                () -> {
                    throw new IllegalStateException("thrown by the callback");
                });
        play(4000, Script.SILENT, ALIVE);
        assertTrue(removedAtMs >= 0 && removedAtMs <= SECOND_WATCH_MS, "removed at " + removedAtMs);
    }

    /** A connection that is not established is retried after its connect timeout. */
    @Test
    public void connectionNeverEstablishedIsRetried() throws Exception {
        acceptsConnections = false;
        fillBacklog();
        start(1);
        play(3000, ALIVE);
        assertEquals(callTimesMs, List.of());
        acceptsConnections = true;
        play(5000, ALIVE);
        // 250 ms of connect timeout and 750 ms of backoff.
        assertTrue(removedAtMs <= 4050, "removed at " + removedAtMs);
    }
}
