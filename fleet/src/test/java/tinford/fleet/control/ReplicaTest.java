package tinford.fleet.control;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Endpoint;
import tinford.fleet.config.WatchMessage;
import tinford.fleet.testing.Eventually;

/** A replica behind a voter. */
public class ReplicaTest {
    private final ControlClient client = new ControlClient();
    private InMemoryLogsFixture logs;
    private ControlServer voter;
    private Path folder;
    private Endpoint upstream;
    private ControlServer replica;

    @BeforeMethod
    public void start() throws IOException {
        logs = new InMemoryLogsFixture(1);
        voter = ControlServerFixtures.voter(logs, 1);
        upstream = ControlServerFixtures.endpoint(voter);
        folder = Files.createTempDirectory("replica");
        replica = open();
    }

    private ControlServer open() throws IOException {
        return ControlServer.start(
                ControlServerFixtures.replicaSettings("replica-1", folder, List.of(upstream)));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        replica.close();
        voter.close();
        logs.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private ControlClient.Response propose(ControlServer server, String name) throws Exception {
        byte[] body = ConfigurationCodec.encode(ControlServerFixtures.putService(name, name));
        return client.post(server.address(), "/proposals", body);
    }

    private long revision(ControlServer server) throws Exception {
        return client.get(server.address(), "/status").body().path("revision").asLong();
    }

    @Test
    public void servesTheRevisionsOfTheVoter() throws Exception {
        try (WatchConnection watch = WatchConnection.open(replica, "gw-1", 0)) {
            watch.head();
            for (int revision = 1; revision <= 3; revision++) {
                assertEquals(propose(voter, "service-" + revision).status(), 200);
                WatchMessage.UpdateMessage message = (WatchMessage.UpdateMessage) watch.message();
                assertEquals(message.update().revision(), revision);
            }
        }
        Eventually.holds(
                "the voter knows what the replica holds",
                () ->
                        client.get(voter.address(), "/followers")
                                        .body()
                                        .path("followers")
                                        .path(0)
                                        .path("revision")
                                        .asLong()
                                == 3);
    }

    @Test
    public void rejectsProposals() throws Exception {
        ControlClient.Response answer = propose(replica, "search");
        assertEquals(answer.status(), 503);
        assertEquals(answer.body().path("taken").asText(), "no");
        assertEquals(revision(voter), 0);
    }

    @Test
    public void startsFromItsSnapshotWithoutAVoter() throws Exception {
        propose(voter, "search");
        propose(voter, "mail");
        Eventually.holds("the replica has both", () -> revision(replica) == 2);
        replica.close();
        voter.close();
        replica = open();
        assertEquals(revision(replica), 2);
        try (WatchConnection watch = WatchConnection.open(replica, "gw-1", 0)) {
            watch.head();
            assertEquals(((WatchMessage.SnapshotMessage) watch.message()).revision(), 2);
        }
    }

    @Test
    public void startsWithoutAUsableSnapshot() throws Exception {
        propose(voter, "search");
        Eventually.holds("the replica has it", () -> revision(replica) == 1);
        replica.close();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.write(file, new byte[] {1, 2, 3});
            }
        }
        replica = open();
        Eventually.holds("it has it again", () -> revision(replica) == 1);
    }
}
