package tinford.lab.scale;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import tinford.api.AttemptOutcome;
import tinford.api.DeduplicationScope;
import tinford.api.Idempotency;
import tinford.api.Plan;
import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Server;
import tinford.api.Tenant;
import tinford.lab.scale.FirstDispatchTimes.Part;

/** The parts of the time before a first dispatch, on constructed histories. */
public class FirstDispatchTimesTest {
    private static final double PRECISION_MS = 0.5;
    private static final double TIMEOUT = 6000;
    private static final long NAME = 17;
    private static final Server SERVER = new Server("s");
    private FirstDispatchTimes times;

    @BeforeMethod
    public void start() {
        times = new FirstDispatchTimes(0);
        times.started(0, 0);
    }

    private static Request request(double arrivedAt, double ceilingRate, double units) {
        RequestClass frontend =
                new RequestClass(
                        "f",
                        1500,
                        TIMEOUT,
                        1,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false);
        Plan plan = new Plan("p", 1, 10, 0, 1, 0, 0, ceilingRate, ceilingRate * 100, 0);
        return new Request(
                1, frontend, new Tenant(1, plan, 2, 0), arrivedAt + TIMEOUT, units, false);
    }

    private void arrive(Request request, double turnAt, boolean calls) {
        times.arriving(0, request, turnAt);
        if (calls) {
            times.calledCounter(0, NAME, request.units, 1000, turnAt);
        }
        times.arrived(0, request, turnAt);
    }

    private void check(Part part, double ms) {
        assertEquals(times.percentile(part, 100), ms, PRECISION_MS, part.name());
    }

    @Test
    public void theTurnTheCounterAndTheRoomAreToldApart() {
        Request request = request(1000, 0, 1);
        arrive(request, 1003, true);
        times.counting(0, NAME, AttemptOutcome.SUCCESS, 1, 1013);
        times.counted(0, 1013);
        times.dispatched(0, request, SERVER, 1053);
        check(Part.TURN, 3);
        check(Part.COUNTER, 10);
        check(Part.CEILING, 0);
        check(Part.ROOM, 40);
        check(Part.TOTAL, 53);
        assertEquals(times.count(), 1);
    }

    @Test
    public void theWindowBeforeIsReadAsPartOfTheCounter() {
        Request request = request(1000, 0, 1);
        arrive(request, 1000, true);
        times.counting(0, NAME, AttemptOutcome.SUCCESS, 1, 1010);
        times.calledCounter(0, NAME - 1, 0, 1000, 1010);
        times.counted(0, 1010);
        times.counting(0, NAME - 1, AttemptOutcome.SUCCESS, 1, 1020);
        times.dispatched(0, request, SERVER, 1020);
        times.counted(0, 1020);
        check(Part.COUNTER, 20);
        check(Part.ROOM, 0);
    }

    @Test
    public void whatIsNotCounted() {
        Request request = request(1000, 0, 1);
        arrive(request, 1000, false);
        times.dispatched(0, request, SERVER, 1000);
        check(Part.COUNTER, 0);
        check(Part.TOTAL, 0);
    }

    /** The tenant comes through two gateways: of a ceiling of 0.1 a ms each holds 0.05. */
    @Test
    public void anEmptySliceOfTheCeilingIsNoLackOfRoom() {
        Request first = request(1000, 0.1, 4);
        arrive(first, 1000, false);
        times.dispatched(0, first, SERVER, 1000);
        check(Part.CEILING, 0);
        // of a depth of 5 it left 1; 3 more take 60 ms
        Request second = request(1010, 0.1, 4);
        arrive(second, 1010, false);
        times.dispatched(0, second, SERVER, 1070);
        check(Part.CEILING, 50);
        check(Part.ROOM, 10);
    }

    @Test
    public void aCallThatIsNotAwaitedAnyMoreIsNotTheLine() {
        Request request = request(1000, 0, 1);
        arrive(request, 1000, true);
        times.dispatched(0, request, SERVER, 1400);
        check(Part.COUNTER, 125); // a twentieth of the target, and the tick that looks for it
        check(Part.ROOM, 275);
    }

    @Test
    public void furtherDispatchesAndWhatWasDroppedAreLeftOut() {
        Request request = request(1000, 0, 1);
        arrive(request, 1000, false);
        times.dispatched(0, request, SERVER, 1000);
        times.dispatched(0, request, SERVER, 1500);
        Request denied = request(1000, 0, 1);
        arrive(denied, 1000, false);
        times.dropped(0, denied, 1200);
        assertEquals(times.count(), 1);
    }

    @Test
    public void unitsGivenBackBelongToNoRequest() {
        Request request = request(1000, 0, 1);
        times.calledCounter(0, NAME, -2, 1000, 999);
        arrive(request, 1000, true);
        times.counting(0, NAME, AttemptOutcome.SUCCESS, 0, 1005);
        times.counted(0, 1005);
        times.counting(0, NAME, AttemptOutcome.SUCCESS, 1, 1012);
        times.dispatched(0, request, SERVER, 1012);
        check(Part.COUNTER, 12);
    }

    @Test
    public void theSlowestKeepTheirParts() {
        for (int i = 0; i < 99; i++) {
            Request quick = request(1000, 0, 1);
            arrive(quick, 1001, false);
            times.dispatched(0, quick, SERVER, 1001);
        }
        Request slow = request(1000, 0, 1);
        arrive(slow, 1002, false);
        times.dispatched(0, slow, SERVER, 1102);
        assertEquals(times.meanOfSlowest(Part.ROOM, 99.5), 100, PRECISION_MS);
        assertEquals(times.meanOfSlowest(Part.TURN, 99.5), 2, PRECISION_MS);
        assertEquals(times.shareAbove(Part.TOTAL, 50), 0.01, 1e-9);
    }
}
