package tinford.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against more memory than the limit, and against holders that keep out all others. */
public class MemoryBudgetTest {
    private static final int LIMIT = 1000;
    private static final int HOLDERS = 10;

    @DataProvider
    public Object[][] demands() {
        return new Object[][] {
            // used by all, held by the one that asks, asked for, whether it is available
            {0, 0, 750, true}, // a single holder may exceed its share
            {0, 0, 751, false}, // the last quarter is for those within their share
            {700, 50, 50, true},
            {700, 50, 51, false},
            {900, 0, 100, true},
            {901, 0, 100, false},
            {750, 100, 1, false},
            {999, 99, 1, true},
        };
    }

    @Test(dataProvider = "demands")
    public void demandFitsBesideWhatIsUsed(int used, int held, int bytes, boolean fits) {
        MemoryBudget budget = new MemoryBudget(LIMIT, HOLDERS);
        budget.add(used);
        assertEquals(budget.isAvailable(held, bytes), fits);
        if (fits) {
            budget.add(bytes);
            assertFalse(budget.isExceeded());
        }
    }

    @Test
    public void releasedMemoryGoesToWaitersInTurn() {
        MemoryBudget budget = new MemoryBudget(LIMIT, HOLDERS);
        budget.setServeLater(budget::serveWaiters);
        budget.add(750);
        List<Integer> served = new ArrayList<>();
        for (int bytes : new int[] {300, 200, 80}) {
            budget.await(new Demand(budget, bytes, served));
        }
        budget.release(200);
        assertEquals(served, List.of(80), "200 would fit, but 300 is before it");
        budget.release(180);
        assertEquals(served, List.of(80, 300));
        budget.release(200);
        assertEquals(served, List.of(80, 300, 200));
        assertFalse(budget.hasWaiters());
    }

    @Test
    public void cancelledWaitIsNotServed() {
        MemoryBudget budget = new MemoryBudget(LIMIT, HOLDERS);
        budget.setServeLater(budget::serveWaiters);
        budget.add(LIMIT);
        List<Integer> served = new ArrayList<>();
        Demand demand = new Demand(budget, 80, served);
        budget.await(demand);
        assertTrue(budget.hasWaiters());
        budget.cancelWait(demand);
        budget.release(LIMIT);
        assertEquals(served, List.of());
    }

    private record Demand(MemoryBudget budget, int bytes, List<Integer> served)
            implements MemoryBudget.Waiter {
        @Override
        public boolean tryProceed() {
            if (!budget.isAvailable(0, bytes)) {
                return false;
            }
            budget.add(bytes);
            served.add(bytes);
            return true;
        }

        @Override
        public boolean isWithinShare() {
            return !budget.exceedsShare(bytes);
        }
    }
}
