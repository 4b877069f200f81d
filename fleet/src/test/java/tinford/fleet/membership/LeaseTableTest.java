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

/** How entries of the log grant, renew and end leases. */
public class LeaseTableTest {
    private static final Incarnation FIRST = new Incarnation(3, 100);
    private static final Incarnation LATER = new Incarnation(3, 900);
    private static final Incarnation OTHER = new Incarnation(5, 100);

    private static LeaseTable newTable() {
        return new LeaseTable(8, 1000, 50, 400);
    }

    @Test
    public void leaseExpiresAfterTheClockSkewAndIsClosedAfterTheLingerTime() {
        LeaseTable table = newTable();
        table.apply(1, LeaseTable.renewalEntry(FIRST, 1000, 1000));
        assertTrue(table.of(FIRST).isHeldAt(1999) && !table.of(FIRST).isHeldAt(2000));
        table.observeTime(2049);
        assertTrue(table.mayAct(FIRST));
        table.observeTime(2050);
        assertFalse(table.mayAct(FIRST));
        table.observeTime(2449);
        assertFalse(table.isClosed(FIRST), "its connections may still be open");
        table.observeTime(2450);
        assertTrue(table.isClosed(FIRST));
    }

    @Test
    public void laterIncarnationPreventsRenewalButDoesNotEndEarlierLease() {
        LeaseTable table = newTable();
        table.apply(1, LeaseTable.renewalEntry(FIRST, 1000, 1000));
        table.apply(2, LeaseTable.renewalEntry(LATER, 1100, 1000));
        assertEquals(table.mayAct(), List.of(FIRST, LATER));
        table.apply(3, LeaseTable.renewalEntry(FIRST, 1200, 1000));
        assertEquals(table.of(FIRST).expiresAtMs(), 2000.0);
        assertFalse(table.mayRenew(FIRST));
        assertTrue(table.mayRenew(LATER));
        table.apply(4, LeaseTable.departureEntry(LATER, 1300));
        assertEquals(table.mayAct(), List.of(FIRST));
        table.apply(5, LeaseTable.renewalEntry(LATER, 1200, 1000));
        assertTrue(
                table.isClosed(LATER),
                "a delayed entry restored the lease of an incarnation that left");
    }

    @DataProvider
    public Object[][] invalidEntries() {
        byte[] valid = LeaseTable.renewalEntry(FIRST, 1, 1);
        byte[] laterVersion = valid.clone();
        laterVersion[1] = 9;
        return new Object[][] {
            {LeaseTable.renewalEntry(FIRST, Double.NaN, 10)},
            {LeaseTable.renewalEntry(FIRST, 10, 1001)},
            {LeaseTable.renewalEntry(FIRST, 10, -1)},
            {LeaseTable.renewalEntry(new Incarnation(8, 1), 10, 10)},
            {java.util.Arrays.copyOf(valid, 9)},
            {laterVersion},
            {LeaseTable.departureEntry(OTHER, 1)}
        };
    }

    @Test(dataProvider = "invalidEntries")
    public void countsAnInvalidEntryAndChangesNothing(byte[] entry) {
        LeaseTable table = newTable();
        assertTrue(table.apply(1, entry));
        assertEquals(table.rejectedEntries(), 1);
        assertEquals(table.mayAct(), List.of());
        assertFalse(table.apply(2, new byte[] {77}), "handled an entry that is not about a lease");
    }

    @Test
    public void boundsTheIncarnationsOfAGatewayAndRestoresASnapshot() throws IOException {
        LeaseTable table = newTable();
        for (int i = 0; i < 20; i++) {
            table.apply(i + 1, LeaseTable.renewalEntry(new Incarnation(3, i), 1000 + i, 1000));
        }
        assertEquals(table.of(3).size(), LeaseTable.MAX_INCARNATIONS);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        table.write(new DataOutputStream(bytes));
        LeaseTable restored = newTable();
        restored.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())));
        assertEquals(restored.mayAct(), table.mayAct());
        assertEquals(restored.logTimeMs(), table.logTimeMs());
        restored.apply(30, LeaseTable.renewalEntry(new Incarnation(3, 6), 1100, 1000));
        assertNotNull(restored.of(new Incarnation(3, 6)));
        assertEquals(
                restored.of(new Incarnation(3, 6)).expiresAtMs(),
                2006.0,
                "an earlier incarnation renewed after a snapshot");
    }
}
