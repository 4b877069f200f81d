package tinford.routing.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.api.FleetPolicy;
import tinford.api.Server;
import tinford.routing.RoutingFixtures;
import tinford.routing.dispatch.RequestDispatcher;
import tinford.testing.IgnoredEvents;

/** Effects of endpoint lists: which connections are closed in which order, and known ids. */
public class EndpointListTest {
    private static final int FLEET_SIZE = 6000;
    private static final int MAX_REMOVED_IDS = 4096;
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final Map<String, PooledServer> listed = new LinkedHashMap<>();

    /** Ids of the servers whose connections were closed, in order. */
    private final List<String> closed = new ArrayList<>();

    private ServerSocket fullServer;
    private RequestDispatcher dispatcher;
    private ServerPool servers;

    @BeforeMethod
    public void start() throws Exception {
        listed.clear();
        closed.clear();
        fullServer = RoutingFixtures.serverWithFullBacklog(resources);
        IgnoredEvents events =
                new IgnoredEvents() {
                    @Override
                    public void endpointsUpdated(List<Server> entries, boolean complete) {
                        entries.forEach(entry -> listed.put(entry.id, (PooledServer) entry));
                    }
                };
        dispatcher = new RequestDispatcher(RoutingFixtures.decisions(events), 3, 100, 1 << 24);
        resources.add(dispatcher.loop()::close);
        servers = new ServerPool(dispatcher, dispatcher, 60_000, 60_000, 100, List.of());
        dispatcher.attach(null, servers, null, null, null);
        FleetPolicy policy =
                new FleetPolicy() {
                    @Override
                    public void connectionClosed(Server server) {
                        closed.add(server.id);
                    }
                };
        runBatch(() -> dispatcher.applyFleetPolicy(policy));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        resources.clear();
    }

    /** Whether the list is complete; its entries; servers whose connections close, in order. */
    @DataProvider
    public Object[][] lists() {
        return new Object[][] {
            {false, "5 draining,2 gone,6 gone,1 draining", "1 2 5 6"},
            {false, "4 ready", ""},
            {false, "4 gone", "4"},
            {false, "3 draining,3 gone", "3"},
            {true, "7 ready,6 ready,5 draining,4 ready,2 ready,1 ready", "0 3 5"},
            {true, "", "0 1 2 3 4 5 6 7"},
        };
    }

    @Test(dataProvider = "lists")
    public void connectionsCloseInTheOrderOfFirstListing(
            boolean complete, String entries, String expected) throws Exception {
        String[] each = entries.isEmpty() ? new String[0] : entries.split(",");
        assertEquals(closedIdsAfter(complete, each), expected);
    }

    @Test
    public void serverListedAgainComesLast() throws Exception {
        runBatch(() -> update(true, IntStream.range(0, 8).mapToObj(i -> i + " ready")));
        runBatch(() -> update(false, Stream.of("0 gone")));
        runBatch(() -> update(false, Stream.of("0 ready")));
        runBatch(this::connectToAll);
        runBatch(() -> update(false, Stream.of("0 gone", "7 gone")));
        assertEquals(closedIds(), "7 0");
    }

    /** Operators exclude servers by id, so each listed id must be known, also in a large fleet. */
    @Test
    public void eachListedServerIsKnownHoweverMany() throws Exception {
        runBatch(() -> update(true, IntStream.range(0, FLEET_SIZE).mapToObj(i -> i + " ready")));
        runBatch(
                () -> {
                    for (int i = 0; i < FLEET_SIZE; i++) {
                        assertTrue(servers.isKnown("s" + i), "s" + i);
                    }
                    assertFalse(servers.isKnown("s" + FLEET_SIZE));
                });
    }

    /** The most recently removed ids are known, in addition to the listed ones. */
    @Test
    public void removedServersRememberedAreBounded() throws Exception {
        runBatch(() -> update(true, IntStream.range(0, FLEET_SIZE).mapToObj(i -> i + " ready")));
        runBatch(() -> update(true, Stream.of("3 ready")));
        runBatch(
                () -> {
                    long known =
                            IntStream.range(0, FLEET_SIZE)
                                    .filter(i -> servers.isKnown("s" + i))
                                    .count();
                    assertEquals(known, MAX_REMOVED_IDS + 1);
                    assertTrue(servers.isKnown("s3"));
                    assertTrue(servers.isKnown("s" + (FLEET_SIZE - 1)));
                    assertFalse(servers.isKnown("s0"));
                });
    }

    private String closedIdsAfter(boolean complete, String... entries) throws Exception {
        runBatch(() -> update(true, IntStream.range(0, 8).mapToObj(i -> i + " ready")));
        runBatch(this::connectToAll);
        runBatch(() -> update(complete, Stream.of(entries)));
        return closedIds();
    }

    private String closedIds() throws Exception {
        String[] ids = new String[1];
        runBatch(() -> ids[0] = String.join(" ", closed).replace("s", ""));
        return ids[0];
    }

    /** Starts one connection to each server. The connections are never established. */
    private void connectToAll() {
        for (PooledServer server : listed.values()) {
            ServerConnection connection = new ServerConnection(servers, server);
            connection.counted = true;
            server.connectionCount++;
            server.openingConnections.add(connection);
            connection.connect(60_000);
        }
    }

    /** Applies a list whose entries consist of a server number and a health value. */
    private void update(boolean complete, Stream<String> entries) {
        List<String> hosts = entries.map(this::hostEntry).toList();
        servers.updateEndpoints(RoutingFixtures.endpointList(complete, hosts));
    }

    private String hostEntry(String entry) {
        String[] words = entry.split(" ");
        return RoutingFixtures.hostEntry("s" + words[0], fullServer, words[1], 0);
    }

    private void runBatch(Runnable task) throws Exception {
        RoutingFixtures.runInBatch(dispatcher, task::run);
    }
}
