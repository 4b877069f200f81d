package tinford.routing.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against holding more bytes of long commands in memory than the limit allows. */
public class HeldBytesTest {
    private static final int LIMIT = 100;

    @DataProvider
    public Object[][] reservations() {
        return new Object[][] {
            {0, 0, 40, true},
            {0, 0, 100, true}, // a single command may exceed half of the limit
            {0, 0, 101, false},
            {0, 20, 30, true},
            {0, 20, 31, false}, // the other half is reserved for complete commands
            {50, 0, 50, true},
            {50, 0, 51, false}, // complete commands count against the limit
            {50, 25, 25, true},
            {51, 25, 25, false},
        };
    }

    @Test(dataProvider = "reservations")
    public void reservationFitsBesideWhatIsHeld(int held, int reserved, int bytes, boolean fits) {
        HeldBytes heldBytes = new HeldBytes(LIMIT);
        heldBytes.add(held);
        assertEquals(reserved == 0 || heldBytes.tryReserve(reserved), true);
        assertEquals(heldBytes.tryReserve(bytes), fits);
        assertFalse(heldBytes.isExceeded());
    }

    @Test
    public void reservedBufferBecomesACommandWithoutCountingTwice() {
        HeldBytes heldBytes = new HeldBytes(LIMIT);
        assertTrue(heldBytes.tryReserve(80));
        heldBytes.releaseReserved(80);
        heldBytes.add(80);
        assertFalse(heldBytes.isExceeded());
        assertFalse(heldBytes.tryReserve(21));
        heldBytes.add(-80);
        assertTrue(heldBytes.tryReserve(21));
    }
}
