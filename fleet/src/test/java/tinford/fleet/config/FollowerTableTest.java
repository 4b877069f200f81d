package tinford.fleet.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** The table keeps the latest report of each follower, bounded in number and age. */
public class FollowerTableTest {
    private static final double EXPIRY_MS = 30_000;

    private final FollowerTable table = new FollowerTable(3, EXPIRY_MS);

    private static FollowerReport report(String follower, long revision) {
        return new FollowerReport(follower, "east", revision, null);
    }

    @Test
    public void latestReportReplacesEarlierOnes() {
        FollowerTable own = new FollowerTable(3, EXPIRY_MS);
        own.report(report("b", 5), 0);
        own.report(report("a", 6), 10);
        own.report(report("b", 4), 20);
        assertEquals(
                own.entries(30),
                List.of(
                        new FollowerTable.Entry(report("a", 6), 10),
                        new FollowerTable.Entry(report("b", 4), 20)));
        assertEquals(own.lagging(6, 30), List.of(new FollowerTable.Entry(report("b", 4), 20)));
        assertEquals(own.lagging(4, 30), List.of());
        assertEquals(own.countByRevision(30), Map.of(4L, 1, 6L, 1));
    }

    @Test
    public void entriesExpire() {
        FollowerTable own = new FollowerTable(3, EXPIRY_MS);
        own.report(report("a", 1), 0);
        own.report(report("b", 1), 1);
        assertEquals(own.entries(EXPIRY_MS - 1).size(), 2);
        assertEquals(own.countByRevision(EXPIRY_MS), Map.of(1L, 1));
        assertEquals(own.entries(EXPIRY_MS + 1), List.of());
    }

    @Test
    public void isBoundedAndAcceptsNewFollowersAfterOthersExpire() {
        for (String each : List.of("a", "b", "c")) {
            assertTrue(table.report(report(each, 1), 0));
        }
        assertFalse(table.report(report("d", 1), 1));
        assertTrue(table.report(report("a", 2), 1), "rejected a report of a known follower");
        assertEquals(table.entries(1).size(), 3);
        assertTrue(table.report(report("d", 1), EXPIRY_MS));
        assertEquals(
                table.entries(EXPIRY_MS).stream().map(e -> e.report().follower()).toList(),
                List.of("a", "d"));
    }

    @Test
    public void rejectsInvalidCapacityAndExpiry() {
        assertThrows(IllegalArgumentException.class, () -> new FollowerTable(0, 1));
        assertThrows(IllegalArgumentException.class, () -> new FollowerTable(1, Double.NaN));
    }
}
