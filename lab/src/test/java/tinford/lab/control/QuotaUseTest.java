package tinford.lab.control;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import tinford.fleet.config.PlanRecord;
import tinford.lab.fleet.History;

/** Quotas across a change of plan, from histories made by hand. */
public class QuotaUseTest {
    private static final PlanRecord WHOLE = plan(1);
    private static final PlanRecord HALF = plan(0.5);

    /** At a factor of 1: 10 units a second and 10 at once; a ceiling of twice that, slack 2. */
    private static PlanRecord plan(double factor) {
        return new PlanRecord(
                "full", 10 * factor, 10 * factor, 0, 1, 0, 1, 20 * factor, 20 * factor, 2);
    }

    private static List<History.Line> sent(double from, int count, double everyMs) {
        List<History.Line> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            double ms = from + i * everyMs;
            String request = "request-" + ms;
            all.add(Lines.at(ms, "asked", "req", request, "plan", "full", "customer", "c"));
            all.add(Lines.at(ms, "dispatch", "req", request, "units", 1, "further", false));
        }
        return all;
    }

    private static List<History.Line> joined(List<History.Line> some, List<History.Line> more) {
        List<History.Line> all = new ArrayList<>(some);
        all.addAll(more);
        return all;
    }

    private static List<QuotaUse.Reading> halvedAt(double ms, List<History.Line> lines) {
        return QuotaUse.of(
                lines, List.of(new QuotaUse.Phase(-1, WHOLE), new QuotaUse.Phase(ms, HALF)));
    }

    @Test
    public void withinTheQuotaNothingIsBeyond() {
        QuotaUse.Reading all =
                QuotaUse.of(sent(0, 100, 100), List.of(new QuotaUse.Phase(-1, WHOLE))).get(0);
        assertEquals(all.units(), 100.0);
        assertEquals(all.beyond(), 0.0);
        assertEquals(all.overCeiling() <= 0, true, all.toString());
    }

    @Test
    public void theSameRateIsBeyondTheHalvedQuota() {
        QuotaUse.Reading after = halvedAt(5000, sent(0, 200, 100)).get(1);
        assertEquals(after.units(), 150.0);
        assertEquals(after.beyond(), 0.5, 0.05);
    }

    @Test
    public void whatWasUsedBeforeTheChangeCountsAfterIt() {
        List<History.Line> lines = joined(sent(0, 22, 1), sent(100, 3, 1));
        double over = halvedAt(90, lines).get(1).overCeiling();
        assertEquals(over > 0, true, "over the ceiling by " + over);
    }

    @Test
    public void aCeilingThatHasFilledAgainIsHeld() {
        List<History.Line> lines = joined(sent(0, 22, 1), sent(2000, 10, 1));
        assertEquals(halvedAt(90, lines).get(1).overCeiling() <= 0, true);
    }

    @Test
    public void theCustomerNearestToItsCeilingIsTold() {
        List<QuotaUse.Phase> phases = List.of(new QuotaUse.Phase(-1, WHOLE));
        assertEquals(QuotaUse.of(sent(0, 5, 1), phases).get(0).leastLeft(), 15, 0.1);
        assertEquals(QuotaUse.of(sent(0, 20, 1), phases).get(0).leastLeft(), 0.4, 0.1);
        QuotaUse.Reading over = QuotaUse.of(sent(0, 25, 1), phases).get(0);
        assertEquals(over.leastLeft(), -4.5, 0.1);
        assertEquals(over.overCeiling(), 0.5, 0.1, "beyond a slack of 2 and 100 ms of the rate");
    }

    @Test
    public void furtherDispatchesAreNotCountedAgain() {
        List<History.Line> lines = sent(0, 1, 1);
        List<History.Line> again = new ArrayList<>(lines);
        again.add(Lines.at(5, "dispatch", "req", "request-0.0", "units", 1, "further", true));
        assertEquals(halvedAt(90, again).get(0).units(), 1.0);
    }
}
