package tinford.fleet.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.Proposal;
import tinford.fleet.testing.Eventually;

/** Three voters on in-memory logs that lose their majority and their leader. */
public class QuorumTest {
    private final ControlClient client = new ControlClient();
    private InMemoryLogsFixture logs;
    private List<ControlServer> servers;

    @BeforeMethod
    public void start() throws Exception {
        logs = new InMemoryLogsFixture(3);
        servers = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            servers.add(ControlServerFixtures.voter(logs, number));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        servers.forEach(ControlServer::close);
        logs.close();
    }

    private ControlClient.Response propose(int voter, Proposal proposal) throws Exception {
        return client.post(
                servers.get(voter).address(), "/proposals", ConfigurationCodec.encode(proposal));
    }

    private long revision(int voter) throws Exception {
        return client.get(servers.get(voter).address(), "/status").body().path("revision").asLong();
    }

    private int leader() throws Exception {
        for (int voter = 0; voter < 3; voter++) {
            if (client.get(servers.get(voter).address(), "/status")
                    .body()
                    .path("leads")
                    .asBoolean()) {
                return voter;
            }
        }
        return -1;
    }

    @Test
    public void anyVoterAcceptsProposalsAndAllServeThem() throws Exception {
        for (int voter = 0; voter < 3; voter++) {
            Proposal proposal = ControlServerFixtures.putService("p" + voter, "service-" + voter);
            assertEquals(propose(voter, proposal).status(), 200);
        }
        for (int voter = 0; voter < 3; voter++) {
            int each = voter;
            Eventually.holds("voter " + each + " at 3", () -> revision(each) == 3);
        }
    }

    @Test
    public void proposalTimesOutWithoutAMajorityAndPassesLater() throws Exception {
        assertEquals(propose(0, ControlServerFixtures.putService("p0", "search")).status(), 200);
        Eventually.holds("voter 2 at 1", () -> revision(2) == 1);
        logs.cut(3, 1);
        logs.cut(3, 2);
        Proposal proposal = ControlServerFixtures.putService("p1", "mail");
        long start = System.nanoTime();
        ControlClient.Response answer = propose(2, proposal);
        double tookMs = (System.nanoTime() - start) / 1e6;
        assertEquals(answer.status(), 503);
        assertEquals(answer.body().path("taken").asText(), "perhaps");
        assertTrue(tookMs < 10 * ControlServerFixtures.DECISION_TIMEOUT_MS, tookMs + " ms");
        try (WatchConnection watch = WatchConnection.open(servers.get(2), "gw-1", 0)) {
            watch.head();
            watch.message(); // the cut voter serves what it holds
        }
        logs.heal();
        Eventually.holds("taken after the cut", () -> propose(2, proposal).status() == 200);
        assertEquals(propose(0, proposal).body().path("revision").asLong(), 2);
        assertEquals(revision(2), 2);
    }

    @Test
    public void othersContinueWithoutTheLeader() throws Exception {
        assertEquals(propose(0, ControlServerFixtures.putService("p0", "search")).status(), 200);
        Eventually.holds("a leader", () -> leader() >= 0);
        int lost = leader();
        servers.get(lost).close();
        int other = (lost + 1) % 3;
        Proposal proposal = ControlServerFixtures.putService("p1", "mail");
        Eventually.holds("decided", () -> propose(other, proposal).status() == 200);
        assertEquals(revision(other), 2);
    }
}
