package tinford.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a record of the operators' calls says of a server. */
public class ServerExclusionsTest {
    @DataProvider
    public Object[][] records() {
        return new Object[][] {
            // lines, whether s is out, its start where the list says 0, and where the list says
            // 1500
            {List.of(), false, 0, 1500},
            {List.of("suspend 1000 s"), true, 0, 1500},
            {List.of("suspend 1000 s", "suspend 1200 s", "resume 2000 s"), false, 2000, 1500},
            {List.of("suspend 1000 s", "resume 2000 s", "resume 3000 s"), false, 2000, 1500},
            {List.of("suspend 1000 s", "resume 2000 s", "suspend 3000 s"), true, 0, 1500},
            {
                List.of("suspend 1000 s", "resume 2000 s", "suspend 3000 s", "resume 4000 s"),
                false,
                4000,
                4000
            },
            {List.of("resume 2000 s"), false, 0, 1500},
            {List.of("suspend 1000 other", "resume 2000 other"), false, 0, 1500},
            {List.of("susp", "suspend 12", "suspend x s", "what 1 s", ""), false, 0, 1500},
        };
    }

    /**
     * The start of one put back is never before its return, unless the list tells of one while it
     * was out.
     */
    @Test(dataProvider = "records")
    public void theLastCallCounts(List<String> lines, boolean out, double born, double listed) {
        ServerExclusions bans = new ServerExclusions();
        lines.forEach(bans::take);
        assertEquals(bans.holds("s"), out);
        assertEquals(bans.born("s", 0), born);
        assertEquals(bans.born("s", 1500), listed);
        assertEquals(bans.knows("s"), lines.stream().anyMatch(l -> l.matches("suspend \\d+ s")));
    }

    /**
     * However many are taken out and put back, what is remembered is bounded; those still out are
     * never forgotten.
     */
    @Test
    public void whatIsKeptIsBounded() {
        ServerExclusions bans = new ServerExclusions();
        bans.take(ServerExclusions.line("first", true, 0));
        for (int i = 0; i < 10_000; i++) {
            bans.take(ServerExclusions.line("s" + i, true, i));
            bans.take(ServerExclusions.line("s" + i, false, i));
        }
        assertTrue(bans.holds("first"));
        int known = 0;
        for (int i = 0; i < 10_000; i++) {
            known += bans.knows("s" + i) ? 1 : 0;
        }
        assertTrue(known > 0 && known <= 4200, "" + known);
    }
}
