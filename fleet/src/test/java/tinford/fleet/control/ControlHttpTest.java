package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.Revert;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;
import tinford.fleet.testing.Eventually;

/** The HTTP service of a voter, on a log in memory. */
public class ControlHttpTest {
    private final ControlClient client = new ControlClient();
    private InMemoryLogsFixture logs;
    private ControlServer server;

    @BeforeMethod
    public void start() throws IOException {
        logs = new InMemoryLogsFixture(1);
        server = ControlServerFixtures.voter(logs, 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
        logs.close();
    }

    private ControlClient.Response post(String path, String body) throws Exception {
        return client.post(server.address(), path, body.getBytes(StandardCharsets.UTF_8));
    }

    private long accepted(String id, String service) throws Exception {
        byte[] body = ConfigurationCodec.encode(ControlServerFixtures.putService(id, service));
        ControlClient.Response answer = client.post(server.address(), "/proposals", body);
        assertEquals(answer.status(), 200, answer.toString());
        return answer.body().path("revision").asLong();
    }

    private static Update update(WatchMessage message) {
        return ((WatchMessage.UpdateMessage) message).update();
    }

    private JsonNode status() throws Exception {
        return client.get(server.address(), "/status").body();
    }

    private void servesOn() throws Exception {
        long before = status().path("revision").asLong();
        assertEquals(accepted("after-" + before, "after-" + before), before + 1);
    }

    @Test
    public void acceptedProposalReachesTheWatches() throws Exception {
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 0)) {
            assertTrue(watch.head().contains(" 200 "));
            assertEquals(watch.line(), "");
            assertEquals(accepted("p1", "search"), 1);
            Update update = update(watch.message());
            assertEquals(update.fromRevision(), 0);
            assertEquals(update.revision(), 1);
        }
    }

    @Test
    public void heartbeatsAreSentWhileNothingChanges() throws Exception {
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 0)) {
            watch.head();
            for (int i = 0; i < 5; i++) {
                assertEquals(watch.line(), "");
            }
        }
    }

    @Test
    public void followerThatIsBehindGetsEachUpdateInOrder() throws Exception {
        for (int i = 1; i <= 6; i++) {
            assertEquals(accepted("p" + i, "service-" + i), i);
        }
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 2)) {
            watch.head();
            for (int revision = 3; revision <= 6; revision++) {
                Update update = update(watch.message());
                assertEquals(update.fromRevision(), revision - 1);
                assertEquals(update.revision(), revision);
            }
        }
    }

    @Test
    public void requestWithoutWatchGetsOneLine() throws Exception {
        accepted("p1", "search");
        String query = "after=%d&fleet=" + ControlServerFixtures.FLEET;
        try (WatchConnection one = new WatchConnection(server.address(), query.formatted(0))) {
            one.head();
            assertEquals(update(one.message()).revision(), 1);
            assertNull(one.line());
        }
        ControlClient.Response none =
                client.get(server.address(), "/configuration?" + query.formatted(1));
        assertEquals(none.status(), 200);
        assertTrue(none.body().isMissingNode(), none.toString());
    }

    @Test
    public void followerThatIsAheadGetsHeartbeatsUntilTheServerPassesIt() throws Exception {
        accepted("p1", "search");
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 2)) {
            watch.head();
            assertEquals(watch.line(), "");
            assertEquals(accepted("p2", "mail"), 2);
            assertEquals(watch.line(), "");
            assertEquals(accepted("p3", "maps"), 3);
            assertEquals(update(watch.message()).fromRevision(), 2);
        }
    }

    @Test
    public void repeatedProposalHasTheSameOutcome() throws Exception {
        assertEquals(accepted("p1", "search"), 1);
        assertEquals(accepted("p1", "search"), 1);
        assertEquals(status().path("revision").asLong(), 1);
    }

    @Test
    public void rejectedProposalGetsKeyAndExpectationAndChangesNothing() throws Exception {
        ControlClient.Response answer =
                post(
                        "/proposals",
                        "{\"version\":1,\"id\":\"p\",\"changes\":[{\"putService\":{\"name\":\"a\"}},"
                            + "{\"putTenant\":{\"id\":7,\"plan\":\"missing\"}}]}");
        assertEquals(answer.status(), 409);
        JsonNode fault = answer.body().path("faults").path(0);
        assertTrue(fault.path("key").asText().contains("plan"), fault.toString());
        assertFalse(fault.path("expected").asText().isEmpty());
        assertEquals(status().path("revision").asLong(), 0);
        ControlClient.Response revert =
                client.post(
                        server.address(),
                        "/proposals",
                        ConfigurationCodec.encode(new Revert("r", 40)));
        assertEquals(revert.status(), 409);
        assertEquals(revert.body().path("faults").path(0).path("key").asText(), "revertTo");
        servesOn();
    }

    @Test
    public void revertIsANewRevision() throws Exception {
        accepted("p1", "search");
        accepted("p2", "mail");
        byte[] revert = ConfigurationCodec.encode(new Revert("r", 1));
        ControlClient.Response answer = client.post(server.address(), "/proposals", revert);
        assertEquals(answer.body().path("revision").asLong(), 3);
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 2)) {
            watch.head();
            assertEquals(update(watch.message()).revision(), 3);
        }
    }

    @DataProvider
    public Object[][] unreadableBodies() {
        String nested = "[".repeat(5000);
        return new Object[][] {
            {""},
            {"{"},
            {"[]"},
            {"7"},
            {"{\"version\":1,\"id\":\"p\",\"changes\":[{\"putService\":{\"na"},
            {"{\"version\":2,\"id\":\"p\",\"changes\":[]}"},
            {"{\"version\":1,\"id\":7,\"changes\":[]}"},
            {"{\"version\":1,\"id\":\"p\",\"changes\":{}}"},
            {"{\"version\":1,\"id\":\"p\",\"changes\":[{\"putMoon\":{}}]}"},
            {
                "{\"version\":1,\"id\":\"p\",\"changes\":[{\"putTenant\":{\"id\":\"x\",\"plan\":1}}]}"
            },
            {"{\"version\":1,\"id\":\"p\",\"changes\":" + nested},
            {"{\"version\":1,\"id\":\"p\",\"revertTo\":-1}"},
            {"\u0000\u0001\u0002"},
        };
    }

    @Test(dataProvider = "unreadableBodies")
    public void unreadableBodyIsRejected(String body) throws Exception {
        ControlClient.Response answer = post("/proposals", body);
        assertEquals(answer.status(), 400, answer.toString());
        JsonNode fault = answer.body().path("faults").path(0);
        assertFalse(fault.path("expected").asText().isEmpty(), answer.toString());
        assertEquals(status().path("revision").asLong(), 0);
        servesOn();
    }

    @Test
    public void oversizedBodyIsRejected() throws Exception {
        String body = " ".repeat(ConfigurationLimits.MAX_PROPOSAL_BYTES + 1);
        assertEquals(post("/proposals", body).status(), 413);
        servesOn();
    }

    @Test
    public void bodyThatIsTooLargeWithAllFieldsIsRejected() throws Exception {
        StringBuilder body = new StringBuilder("{\"version\":1,\"id\":\"p\",\"changes\":[");
        for (int i = 0; i < 5000; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("{\"putRoute\":{\"name\":\"r")
                    .append(i)
                    .append("\",\"service\":\"s\",\"timeoutMs\":9,\"effect\":\"read_like\"}}");
        }
        body.append("]}");
        assertTrue(
                body.length() < ConfigurationLimits.MAX_PROPOSAL_BYTES, "sent: " + body.length());
        ControlClient.Response answer = post("/proposals", body.toString());
        assertEquals(answer.status(), 409, answer.toString());
        assertEquals(answer.body().path("faults").path(0).path("key").asText(), "changes");
        servesOn();
    }

    @Test
    public void oversizedChunkedBodyIsRejected() throws Exception {
        try (Socket socket = socket()) {
            write(
                    socket,
                    "POST /proposals HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = "10000\r\n" + " ".repeat(0x10000) + "\r\n";
            String answer = "";
            try {
                for (int i = 0; i < 10; i++) {
                    write(socket, chunk);
                }
                byte[] head = socket.getInputStream().readNBytes(12);
                answer = new String(head, StandardCharsets.US_ASCII);
            } catch (IOException e) {
                answer = "closed"; // while the rest was still being sent
            }
            assertTrue(answer.equals("HTTP/1.1 413") || answer.equals("closed"), answer);
        }
        servesOn();
    }

    @Test
    public void truncatedBodyChangesNothing() throws Exception {
        try (Socket socket = socket()) {
            write(
                    socket,
                    "POST /proposals HTTP/1.1\r\nHost: c\r\nContent-Length: 500\r\n\r\n"
                            + "{\"version\":1,");
        }
        servesOn();
    }

    private Socket socket() throws IOException {
        Socket socket = new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @DataProvider
    public Object[][] wrongQueries() {
        String fleet = "fleet=" + ControlServerFixtures.FLEET;
        return new Object[][] {
            {"watch=1&after=0&follower=gw-1&fleet=other", "fleet"},
            {"watch=1&after=0&follower=gw-1", "fleet"},
            {"watch=2&after=0&follower=gw-1&" + fleet, "watch"},
            {"watch=1&after=-1&follower=gw-1&" + fleet, "after"},
            {"watch=1&after=x&follower=gw-1&" + fleet, "after"},
            {"watch=1&after=99999999999999999999&follower=gw-1&" + fleet, "after"},
            {"watch=1&after=0&after=1&follower=gw-1&" + fleet, "after"},
            {"watch=1&after=0&" + fleet, "follower"},
            {"watch=1&after=0&follower=a%20b&" + fleet, "follower"},
            {"watch=1&after=0&follower=" + "x".repeat(65) + "&" + fleet, "follower"},
        };
    }

    @Test(dataProvider = "wrongQueries")
    public void wrongQueryIsRejected(String query, String key) throws Exception {
        ControlClient.Response answer = client.get(server.address(), "/configuration?" + query);
        assertEquals(answer.status(), 400);
        assertEquals(answer.body().path("faults").path(0).path("key").asText(), key);
        assertEquals(status().path("followers").asInt(), 0);
    }

    @Test
    public void reportsAreListed() throws Exception {
        report("gw-1", new FollowerReport("gw-1", "east", 4, null), 204);
        report("gw-2", new FollowerReport("gw-2", "west", 3, "routes.a: expected more"), 204);
        report("gw-3", new FollowerReport("gw-4", "west", 3, null), 400);
        assertEquals(post("/followers/gw-3", "{").status(), 400);
        assertEquals(post("/followers/gw-3", " ".repeat(5000)).status(), 413);
        JsonNode followers = client.get(server.address(), "/followers").body().path("followers");
        assertEquals(followers.size(), 2);
        assertEquals(followers.path(0).path("revision").asLong(), 4);
        assertTrue(followers.path(0).path("refusal").isNull());
        assertFalse(followers.path(0).path("connected").asBoolean());
        assertEquals(followers.path(1).path("region").asText(), "west");
        assertEquals(followers.path(1).path("refusal").asText(), "routes.a: expected more");
    }

    private void report(String path, FollowerReport report, int status) throws Exception {
        byte[] body = ConfigurationCodec.encode(report);
        assertEquals(client.post(server.address(), "/followers/" + path, body).status(), status);
    }

    @Test
    public void unknownPathsAndMethodsAreRejected() throws Exception {
        assertEquals(client.get(server.address(), "/nothing").status(), 404);
        assertEquals(client.get(server.address(), "/proposals").status(), 405);
        assertEquals(post("/status", "{}").status(), 405);
    }

    @Test
    public void statusHasRoleRevisionAndFollowers() throws Exception {
        accepted("p1", "search");
        try (WatchConnection watch = WatchConnection.open(server, "gw-1", 1)) {
            watch.head();
            assertEquals(watch.line(), "");
            JsonNode status = status();
            assertEquals(status.path("role").asText(), "voter");
            assertTrue(status.path("leads").asBoolean());
            assertEquals(status.path("revision").asLong(), 1);
            assertEquals(status.path("oldestRetained").asLong(), 0);
            assertEquals(status.path("followers").asInt(), 1);
        }
        Eventually.holds("the watch is forgotten", () -> status().path("followers").asInt() == 0);
    }

    @Test
    public void concurrentProposalsGetOneRevisionEach() throws Exception {
        int proposals = 40;
        List<Thread> threads = new ArrayList<>();
        boolean[] seen = new boolean[proposals + 1];
        for (int i = 0; i < proposals; i++) {
            String name = "service-" + i;
            threads.add(
                    new Thread(
                            () -> {
                                try {
                                    long revision = accepted(name, name);
                                    synchronized (seen) {
                                        seen[(int) revision] = true;
                                    }
                                } catch (Exception | AssertionError e) {
                                    throw new IllegalStateException(e);
                                }
                            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        for (int revision = 1; revision <= proposals; revision++) {
            assertTrue(seen[revision], "revision " + revision);
        }
    }
}
