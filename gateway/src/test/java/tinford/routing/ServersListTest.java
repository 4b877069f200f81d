package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.FleetPolicy;
import tinford.api.Server;
import tinford.settings.JsonFields;
import tinford.testing.IgnoredEvents;

/** The table of servers under lists: what is left and in which order, and whose names are known. */
public class ServersListTest {
    private static final int FLEET = 6000;
    private static final int MOST_GONE = 4096;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Map<String, PooledServer> held = new LinkedHashMap<>();
    private final List<String> left = new ArrayList<>();
    private ServerSocket full; // nobody is let in there: a connection to it is never up
    private RequestDispatcher desk;
    private ServerPool servers;

    @BeforeMethod
    public void prepare() throws Exception {
        held.clear();
        left.clear();
        full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        open.add(full);
        for (int i = 0; i < 2; i++) {
            open.add(new Socket(full.getInetAddress(), full.getLocalPort()));
        }
        IgnoredEvents inbox =
                new IgnoredEvents() {
                    @Override
                    public void endpointsUpdated(List<Server> entries, boolean whole) {
                        entries.forEach(entry -> held.put(entry.id, (PooledServer) entry));
                    }
                };
        desk = new RequestDispatcher((now, feed, out) -> feed.replay(inbox), 3, 100, 1 << 24);
        open.add(desk.loop::close);
        servers = new ServerPool(desk, 60_000, 60_000, 100, List.of());
        desk.seat(null, servers, null, null, null);
        desk.view =
                new FleetPolicy() {
                    @Override
                    public void connectionClosed(Server server) {
                        left.add(server.id);
                    }
                };
    }

    @AfterMethod(alwaysRun = true)
    public void clear() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
        open.clear();
    }

    @DataProvider
    public Object[][] lists() {
        return new Object[][] {
            // whole, entries with their health, whose connections end, in the order of the table
            {false, "5 draining,2 gone,6 gone,1 draining", "1 2 5 6"},
            {false, "4 ready", ""},
            {false, "4 gone", "4"},
            {false, "3 draining,3 gone", "3"},
            {true, "7 ready,6 ready,5 draining,4 ready,2 ready,1 ready", "0 3 5"},
            {true, "", "0 1 2 3 4 5 6 7"},
        };
    }

    @Test(dataProvider = "lists")
    public void connectionsAreLeftInTheOrderOfTheTable(boolean whole, String entries, String ends)
            throws Exception {
        assertEquals(leftBy(whole, entries.isEmpty() ? new String[0] : entries.split(",")), ends);
    }

    /** Whoever was gone and is listed again stands behind the others. */
    @Test
    public void whoComesBackStandsLast() throws Exception {
        onLoop(() -> list(true, IntStream.range(0, 8).mapToObj(i -> i + " ready")));
        onLoop(() -> list(false, Stream.of("0 gone")));
        onLoop(() -> list(false, Stream.of("0 ready")));
        onLoop(this::connectToAll);
        onLoop(() -> list(false, Stream.of("0 gone", "7 gone")));
        assertEquals(ends(), "7 0");
    }

    /** Guards operators of a large fleet, who take out servers by name. */
    @Test
    public void eachListedNameIsKnownHoweverMany() throws Exception {
        onLoop(() -> list(true, IntStream.range(0, FLEET).mapToObj(i -> i + " ready")));
        onLoop(
                () -> {
                    for (int i = 0; i < FLEET; i++) {
                        assertTrue(servers.knows("s" + i), "s" + i);
                    }
                    assertFalse(servers.knows("s" + FLEET));
                });
    }

    /** Of those gone the last are remembered, so many; who is listed is known besides. */
    @Test
    public void namesOfThoseGoneAreBounded() throws Exception {
        onLoop(() -> list(true, IntStream.range(0, FLEET).mapToObj(i -> i + " ready")));
        onLoop(() -> list(true, Stream.of("3 ready")));
        onLoop(
                () -> {
                    long known =
                            IntStream.range(0, FLEET).filter(i -> servers.knows("s" + i)).count();
                    assertEquals(known, MOST_GONE + 1);
                    assertTrue(servers.knows("s3"));
                    assertTrue(servers.knows("s" + (FLEET - 1)));
                    assertFalse(servers.knows("s0"));
                });
    }

    private String leftBy(boolean whole, String... entries) throws Exception {
        onLoop(() -> list(true, IntStream.range(0, 8).mapToObj(i -> i + " ready")));
        onLoop(this::connectToAll);
        onLoop(() -> list(whole, Stream.of(entries)));
        return ends();
    }

    private String ends() throws Exception {
        CompletableFuture<String> ends = new CompletableFuture<>();
        onLoop(() -> ends.complete(String.join(" ", left).replace("s", "")));
        return ends.get(10, TimeUnit.SECONDS);
    }

    /** One connection to each, that does not come up. */
    private void connectToAll() {
        for (PooledServer backend : held.values()) {
            ServerConnection link = new ServerConnection(desk, servers, backend);
            link.counts = true;
            backend.links++;
            backend.opening.add(link);
            link.connect(60_000);
        }
    }

    private void list(boolean whole, Stream<String> entries) {
        List<String> hosts = entries.map(this::host).toList();
        servers.list(
                JsonFields.of(
                        new JsonFactory(),
                        "list",
                        "{\"seq\":1,\"whole\":"
                                + whole
                                + ",\"hosts\":["
                                + String.join(",", hosts)
                                + "]}"));
    }

    private String host(String entry) {
        String[] words = entry.split(" ");
        return "{\"host\":\"s"
                + words[0]
                + "\",\"dial\":\"127.0.0.1:"
                + full.getLocalPort()
                + "\",\"site\":\"a\",\"block\":0,\"health\":\""
                + words[1]
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /** Within one turn of the loop. */
    private void onLoop(Runnable what) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        desk.loop.execute(
                () -> {
                    try {
                        what.run();
                        done.complete(null);
                    } catch (RuntimeException | AssertionError e) {
                        done.completeExceptionally(e);
                    }
                });
        done.get(20, TimeUnit.SECONDS);
    }
}
