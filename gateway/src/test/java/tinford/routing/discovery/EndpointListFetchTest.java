package tinford.routing.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.Server;

/** Invalid endpoint lists, and calls that fetch the list once. */
public class EndpointListFetchTest extends DiscoveryFixture {
    /** Lists with an invalid entry between valid ones, and lists of an invalid form. */
    @DataProvider
    public Object[][] invalidLists() {
        String valid = host("s5", "ready");
        List<String> invalidEntries =
                List.of(
                        "{}",
                        valid.replace("\"s5\"", "5"),
                        valid.replace("ready", "asleep"),
                        valid.replace("127.0.0.1", "s5"),
                        valid.replace(":9\"", "\""),
                        valid.replace("born_ms\":0", "born_ms\":\"x\""),
                        valid.replace("\"a\"", "7"),
                        valid.replace("block\":0", "block\":0.5"),
                        valid.replace("share\":1.0", "share\":{}"),
                        valid.replace("\"site\"", "\"class\":5,\"site\""));
        List<Object[]> all = new ArrayList<>();
        for (String entry : invalidEntries) {
            all.add(new Object[] {list(43, true, host("s0", "draining"), entry, "s1")});
        }
        String list = list(43, true, host("s0", "draining"));
        List<String> invalidLists =
                List.of(
                        list.replace("43", "\"43\""),
                        list.replace("43", "4.3"),
                        list.replace("true", "1"),
                        list.replace("hosts", "host"),
                        list.replace("]", ",7]"),
                        list.replace("[", "{\"x\":[").replace("]", "]}"),
                        "[" + list.strip() + "]\n",
                        "null\n");
        for (String text : invalidLists) {
            all.add(new Object[] {text});
        }
        return all.toArray(Object[][]::new);
    }

    /** No entry of an invalid list is applied; the next watch asks from the version in force. */
    @Test(dataProvider = "invalidLists")
    public void invalidListIsRequestedAgain(String text) throws Exception {
        start(1);
        play(100, Script.at(0, HEAD + chunk(text)), ALIVE);
        assertEquals(listed.keySet(), Set.of("s0", "s1"));
        assertEquals(listed.get("s0").state(), Server.State.UP);
        play(1000, ALIVE);
        assertTrue(removedAtMs >= 0 && removedAtMs <= 350, "removed at " + removedAtMs);
        assertTrue(
                requestLines.size() == 2 && requestLines.get(1).contains("&after=42 "),
                requestLines.toString());
    }

    /** Script of a call that fetches the list; how often it is reported as failed. */
    @DataProvider
    public Object[][] fetches() {
        return new Object[][] {
            {Script.SILENT, 1},
            {Script.at(0, HEAD), 1},
            {trickle(HEAD, "{\"x\":3,"), 1},
            {UNAVAILABLE, 1},
            {Script.closeAt(0), 1},
            {Script.at(0, HEAD + HEARTBEAT + "0\r\n\r\n"), 1},
            {ALIVE, 0},
            {Script.at(0, HEAD + chunk(LIST_WITHOUT_S0) + "0\r\n\r\n"), 0}
        };
    }

    /**
     * Each fetch ends within 2 s and is reported once. There is one at a time, and the next one
     * uses its descriptor.
     */
    @Test(dataProvider = "fetches")
    public void fetchEndsAndIsReportedOnce(Script script, int failures) throws Exception {
        Script watchScript =
                Script.at(0, HEAD + HEARTBEAT)
                        .then(2000, HEARTBEAT)
                        .then(4000, HEARTBEAT)
                        .then(6000, HEARTBEAT);
        descriptors = 4; // 2 of them for discovery
        start(1);
        play(1000, watchScript);
        for (int call = 1; call <= 2; call++) {
            dispatcher
                    .loop()
                    .execute(
                            () -> {
                                watch.fetch();
                                watch.fetch();
                            });
            play(1000 + 2500 * call, script);
            assertEquals(callTimesMs.size(), 1 + call);
            assertEquals(requestLines.get(call), "GET /registry/instances HTTP/1.1");
            assertFalse(connections.get(call).isOpen(), "connection of the fetch is still open");
            assertEquals(failedFetches, failures * call);
            assertEquals(removedAtMs >= 0, failures == 0);
        }
        assertTrue(connections.get(0).isOpen());
    }
}
