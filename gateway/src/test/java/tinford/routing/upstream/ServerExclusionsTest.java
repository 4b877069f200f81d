package tinford.routing.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Exclusion state of a server according to the records of admin API calls. */
public class ServerExclusionsTest {
    /**
     * Records; whether s is excluded; its start time if the list states 0, and if it states 1500.
     */
    @DataProvider
    public Object[][] records() {
        return new Object[][] {
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
     * A readmitted server counts as started when it was readmitted, unless the list states a start
     * during the exclusion.
     */
    @Test(dataProvider = "records")
    public void lastRecordCounts(
            List<String> records, boolean excluded, double startedMs, double startedMsIfListed) {
        ServerExclusions exclusions = new ServerExclusions();
        records.forEach(exclusions::apply);
        assertEquals(exclusions.isExcluded("s"), excluded);
        assertEquals(exclusions.startedAtMs("s", 0), startedMs);
        assertEquals(exclusions.startedAtMs("s", 1500), startedMsIfListed);
        assertEquals(
                exclusions.isKnown("s"),
                records.stream().anyMatch(line -> line.matches("suspend \\d+ s")));
    }

    /** Lifted exclusions are retained up to a limit; exclusions in force are never dropped. */
    @Test
    public void exclusionsRememberedAreBounded() {
        ServerExclusions exclusions = new ServerExclusions();
        exclusions.apply(ServerExclusions.toRecord("first", true, 0));
        for (int i = 0; i < 10_000; i++) {
            exclusions.apply(ServerExclusions.toRecord("s" + i, true, i));
            exclusions.apply(ServerExclusions.toRecord("s" + i, false, i));
        }
        assertTrue(exclusions.isExcluded("first"));
        int known = 0;
        for (int i = 0; i < 10_000; i++) {
            known += exclusions.isKnown("s" + i) ? 1 : 0;
        }
        assertTrue(known > 0 && known <= 4200, "known: " + known);
    }
}
