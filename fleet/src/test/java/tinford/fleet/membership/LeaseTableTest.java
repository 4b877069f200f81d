package tinford.fleet.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Leases of members as the replicated log grants and ends them. */
public class LeaseTableTest {
    private static final Incarnation FIRST = new Incarnation(3, 100);
    private static final Incarnation LATER = new Incarnation(3, 900);
    private static final Incarnation OTHER = new Incarnation(5, 100);

    private static LeaseTable leases() {
        return new LeaseTable(8, 1000, 50, 400);
    }

    @Test
    public void aLeaseIsOverOnlyTheSpreadLaterAndClosedTheLingerAfter() {
        LeaseTable t = leases();
        t.apply(1, LeaseTable.renewalEntry(FIRST, 1000, 1000));
        assertTrue(t.of(FIRST).isHeldAt(1999) && !t.of(FIRST).isHeldAt(2000));
        t.observeTime(2049);
        assertTrue(t.mayAct(FIRST));
        t.observeTime(2050);
        assertFalse(t.mayAct(FIRST));
        t.observeTime(2449);
        assertFalse(t.isClosed(FIRST), "its connections may be open");
        t.observeTime(2450);
        assertTrue(t.isClosed(FIRST));
    }

    @Test
    public void aLaterIncarnationEndsNoLeaseOfAnEarlierOneWhichRenewsNoMore() {
        LeaseTable t = leases();
        t.apply(1, LeaseTable.renewalEntry(FIRST, 1000, 1000));
        t.apply(2, LeaseTable.renewalEntry(LATER, 1100, 1000));
        assertEquals(t.mayAct(), List.of(FIRST, LATER));
        t.apply(3, LeaseTable.renewalEntry(FIRST, 1200, 1000));
        assertEquals(t.of(FIRST).expiresAtMs(), 2000.0);
        assertFalse(t.mayRenew(FIRST));
        assertTrue(t.mayRenew(LATER));
        t.apply(4, LeaseTable.departureEntry(LATER, 1300));
        assertEquals(t.mayAct(), List.of(FIRST));
        t.apply(5, LeaseTable.renewalEntry(LATER, 1200, 1000));
        assertTrue(t.isClosed(LATER), "a late entry takes back one that left");
    }

    @DataProvider
    public Object[][] bad() {
        byte[] cut = LeaseTable.renewalEntry(FIRST, 1, 1);
        byte[] newer = cut.clone();
        newer[1] = 9;
        return new Object[][] {
            {LeaseTable.renewalEntry(FIRST, Double.NaN, 10)},
            {LeaseTable.renewalEntry(FIRST, 10, 1001)},
            {LeaseTable.renewalEntry(FIRST, 10, -1)},
            {LeaseTable.renewalEntry(new Incarnation(8, 1), 10, 10)},
            {java.util.Arrays.copyOf(cut, 9)},
            {newer},
            {LeaseTable.departureEntry(OTHER, 1)}
        };
    }

    @Test(dataProvider = "bad")
    public void whatCantBeTakenChangesNothingAndIsCounted(byte[] entry) {
        LeaseTable t = leases();
        assertTrue(t.apply(1, entry));
        assertEquals(t.rejectedEntries(), 1);
        assertEquals(t.mayAct(), List.of());
        assertFalse(t.apply(2, new byte[] {77}), "an entry of others is not its own");
    }

    @Test
    public void manyIncarnationsOfOneGatewayAreBoundedAndASnapshotIsTheSame() throws IOException {
        LeaseTable t = leases();
        for (int i = 0; i < 20; i++) {
            t.apply(i + 1, LeaseTable.renewalEntry(new Incarnation(3, i), 1000 + i, 1000));
        }
        assertEquals(t.of(3).size(), LeaseTable.MAX_INCARNATIONS);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        t.write(new DataOutputStream(bytes));
        LeaseTable again = leases();
        again.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())));
        assertEquals(again.mayAct(), t.mayAct());
        assertEquals(again.logTimeMs(), t.logTimeMs());
        again.apply(30, LeaseTable.renewalEntry(new Incarnation(3, 6), 1100, 1000));
        assertNotNull(again.of(new Incarnation(3, 6)));
        assertEquals(
                again.of(new Incarnation(3, 6)).expiresAtMs(),
                2006.0,
                "an earlier incarnation renews no more after a snapshot");
    }
}
