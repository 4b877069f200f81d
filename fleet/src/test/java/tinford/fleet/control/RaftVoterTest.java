package tinford.fleet.control;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Proposal;
import tinford.fleet.testing.Eventually;

/** Three voters on Raft logs: the leader stops, and members restart. */
public class RaftVoterTest {
    private static final int VOTERS = 3;

    private final ControlClient client = new ControlClient();
    private final TreeMap<Integer, InetSocketAddress> members = new TreeMap<>();
    private final ControlServer[] servers = new ControlServer[VOTERS + 1];
    private Path folder;

    @BeforeMethod
    public void start() throws IOException {
        folder = Files.createTempDirectory("control");
        List<ServerSocket> reserved = new ArrayList<>();
        for (int number = 1; number <= VOTERS; number++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            reserved.add(socket);
            members.put(number, new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
        }
        for (ServerSocket socket : reserved) {
            socket.close();
        }
        for (int number = 1; number <= VOTERS; number++) {
            open(number);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        for (int number = 1; number <= VOTERS; number++) {
            close(number);
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void open(int number) throws IOException {
        servers[number] =
                ControlServer.start(ControlServerFixtures.raftSettings(number, members, folder));
    }

    private void close(int number) {
        if (servers[number] != null) {
            servers[number].close();
            servers[number] = null;
        }
    }

    private ControlClient.Response propose(int number, Proposal proposal) throws Exception {
        return client.post(
                servers[number].address(), "/proposals", ConfigurationCodec.encode(proposal));
    }

    private long revision(int number) throws Exception {
        return client.get(servers[number].address(), "/status").body().path("revision").asLong();
    }

    private int leader() throws Exception {
        for (int number = 1; number <= VOTERS; number++) {
            if (servers[number] != null
                    && client.get(servers[number].address(), "/status")
                            .body()
                            .path("leads")
                            .asBoolean()) {
                return number;
            }
        }
        return 0;
    }

    @Test
    public void acknowledgedRevisionsSurviveTheLeaderAndARestartOfAll() throws Exception {
        Proposal first = ControlServerFixtures.putService("p1", "search");
        Eventually.holds("the first", () -> propose(1, first).status() == 200);
        Eventually.holds("a leader", () -> leader() > 0);
        int lost = leader();
        close(lost);
        int other = lost % VOTERS + 1;
        Proposal second = ControlServerFixtures.putService("p2", "mail");
        Eventually.holds("the second", () -> propose(other, second).status() == 200);

        int third = other % VOTERS + 1;
        close(third);
        Proposal alone = ControlServerFixtures.putService("p3", "maps");
        assertEquals(propose(other, alone).status(), 503, "one of three");

        close(other);
        for (int number = 1; number <= VOTERS; number++) {
            open(number);
        }
        Eventually.holds("the third", () -> propose(lost, alone).status() == 200);
        for (int number = 1; number <= VOTERS; number++) {
            int each = number;
            Eventually.holds("voter " + each + " has all", () -> revision(each) == 3);
        }
        try (WatchConnection watch = WatchConnection.open(servers[lost], "gw-1", 2)) {
            watch.head();
            watch.message();
        }
    }
}
