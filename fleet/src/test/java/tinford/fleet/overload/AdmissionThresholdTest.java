package tinford.fleet.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/** The admission threshold that gateways compute from the same records. */
public class AdmissionThresholdTest {
    private static final double WINDOW_MS = 4000;
    private static final double UPDATE_INTERVAL_MS = 100;

    /** Returns a record with a demand of 100 units per second of each weight. */
    private static GossipRecord record(
            int gateway, double onTimeUnits, boolean queueing, double... weights) {
        GossipRecord record = new GossipRecord(new Incarnation(gateway, 1), 1);
        for (double weight : weights) {
            record.offeredUnits[GossipRecord.priorityClassOf(weight)] += 100;
        }
        record.onTimeUnits = onTimeUnits;
        record.onTime = 40;
        record.firstAttempts = 40;
        record.queued = queueing ? 8 : 0;
        return record;
    }

    /**
     * Updates the threshold until a time; the records of the other gateways adopt its capacity.
     * Returns the threshold.
     */
    private static double run(
            AdmissionThreshold admission,
            FixedMembership membership,
            double fromMs,
            double untilMs) {
        for (double nowMs = fromMs; nowMs < untilMs; nowMs += UPDATE_INTERVAL_MS) {
            admission.update(nowMs, membership);
            for (GossipRecord record : membership.freshRecords()) {
                if (record.capacity < 1e3) {
                    record.capacity = admission.capacity();
                }
            }
        }
        return admission.threshold();
    }

    @DataProvider
    public Object[][] fleetStates() {
        double infinity = Double.POSITIVE_INFINITY;
        return new Object[][] {
            // name, records, bounds of the threshold, bounds of the share
            {
                "same demand at both gateways, capacity for half",
                new GossipRecord[] {
                    record(1, 200, true, 1, 2, 4, 8), record(2, 200, true, 1, 2, 4, 8)
                },
                2,
                4,
                0,
                1
            },
            {
                "high weights at one gateway only",
                new GossipRecord[] {record(1, 100, true, 8, 8), record(2, 100, true, 1, 1)},
                1,
                8,
                0,
                1
            },
            {
                "one priority class only",
                new GossipRecord[] {record(1, 50, true, 3), record(2, 50, true, 3)},
                2.8,
                3,
                0.45,
                0.55
            },
            {
                "same weight everywhere",
                new GossipRecord[] {record(1, 150, true, 2, 2, 2), record(2, 150, true, 2, 2, 2)},
                2,
                2,
                0.45,
                0.55
            },
            {
                "one gateway without demand",
                new GossipRecord[] {
                    record(1, 200, true, 1, 2, 4, 8),
                    record(2, 200, true, 1, 2, 4, 8),
                    record(3, 0, false)
                },
                2,
                4,
                0,
                1
            },
            {
                "no overload",
                new GossipRecord[] {
                    record(1, 400, false, 1, 2, 4, 8), record(2, 400, false, 1, 2, 4, 8)
                },
                0,
                0,
                1,
                1
            },
            {"no peer alive", new GossipRecord[] {record(1, 100, true, 1, 2, 4, 8)}, 0, 0, 1, 1},
            {
                "values that are not finite",
                new GossipRecord[] {
                    record(1, Double.NaN, true, 1),
                    record(2, infinity, true, 1),
                    record(3, 50, true, 1)
                },
                0,
                1,
                0,
                1
            },
        };
    }

    @Test(dataProvider = "fleetStates")
    public void thresholdAdmitsByPriorityWeight(
            String name,
            GossipRecord[] records,
            double minThreshold,
            double maxThreshold,
            double minShare,
            double maxShare) {
        FixedMembership membership = new FixedMembership(records.length + 1);
        for (GossipRecord record : records) {
            membership.add(record);
        }
        AdmissionThreshold admission = new AdmissionThreshold(WINDOW_MS);
        double threshold = run(admission, membership, 0, 4000);
        assertTrue(
                threshold >= minThreshold - 0.01 && threshold <= maxThreshold + 0.01,
                name + ": " + threshold);
        assertTrue(
                admission.shareAtThreshold() >= minShare
                        && admission.shareAtThreshold() <= maxShare,
                name + ": " + admission.shareAtThreshold());
    }

    @Test
    public void thresholdIsRemovedTwoWindowsAfterOverloadAtAnyDemand() {
        AdmissionThreshold admission = new AdmissionThreshold(WINDOW_MS);
        FixedMembership overloaded =
                new FixedMembership(2)
                        .add(record(1, 100, true, 1, 2, 4, 8))
                        .add(record(2, 100, true, 1, 2, 4, 8));
        assertTrue(run(admission, overloaded, 0, 10_000) > 0);
        FixedMembership notOverloaded =
                new FixedMembership(2)
                        .add(record(1, 100, false, 1, 2, 4, 8))
                        .add(record(2, 100, false, 1, 2, 4, 8));
        assertEquals(run(admission, notOverloaded, 10_000, 10_000 + 2 * WINDOW_MS), 0.0);
    }

    @Test
    public void gatewayWithoutPeersHasNoThreshold() {
        AdmissionThreshold admission = new AdmissionThreshold(WINDOW_MS);
        FixedMembership membership =
                new FixedMembership(2)
                        .add(record(1, 100, true, 1, 8))
                        .add(record(2, 100, true, 1, 8));
        assertTrue(run(admission, membership, 0, 3000) > 0);
        membership.records.remove(2);
        admission.update(3000, membership);
        assertEquals(admission.threshold(), 0.0);
        assertEquals(admission.capacity(), 0.0);
    }

    @Test
    public void joiningGatewayAdoptsTheThresholdOfTheOthers() {
        FixedMembership membership = new FixedMembership(3);
        for (int gateway = 1; gateway <= 3; gateway++) {
            membership.add(record(gateway, 100, true, 1, 2, 4, 8));
        }
        AdmissionThreshold first = new AdmissionThreshold(WINDOW_MS);
        AdmissionThreshold joining = new AdmissionThreshold(WINDOW_MS);
        run(first, membership, 0, 5000);
        first.update(5000, membership);
        joining.update(5000, membership);
        assertEquals(joining.threshold(), first.threshold());
        assertEquals(joining.shareAtThreshold(), first.shareAtThreshold(), 0.02);
    }

    /**
     * One of ten gateways reports excessive values: the totals change at most by the bound of a
     * single record, and the threshold stays within the weights of the requests.
     */
    @Test
    public void oneFaultyRecordChangesTotalsByItsBoundOnly() {
        Random random = new Random(5);
        for (int run = 0; run < 200; run++) {
            FixedMembership membership = new FixedMembership(10);
            for (int gateway = 1; gateway < 10; gateway++) {
                membership.add(record(gateway, 150 + random.nextInt(100), true, 1, 2, 4, 8));
            }
            FleetTotals without = new FleetTotals(membership);
            GossipRecord faulty = record(10, 1e9 * random.nextDouble(), true, 8);
            faulty.offeredUnits[GossipRecord.PRIORITY_CLASSES - 1] =
                    Math.pow(10, random.nextInt(12));
            faulty.capacity = Math.pow(10, 3 + random.nextInt(6));
            membership.add(faulty);
            FleetTotals with = new FleetTotals(membership);
            assertTrue(
                    with.demand <= without.demand * (1 + FleetTotals.MAX_FACTOR_OF_MEAN / 9) + 1,
                    "demand " + with.demand);
            assertTrue(
                    with.onTimeUnits
                            <= without.onTimeUnits * (1 + FleetTotals.MAX_FACTOR_OF_MEAN / 9) + 1,
                    "on time " + with.onTimeUnits);
            AdmissionThreshold admission = new AdmissionThreshold(WINDOW_MS);
            assertTrue(
                    run(admission, membership, 0, 6000) <= 8.01 && admission.capacity() < 1e5,
                    "threshold " + admission.threshold());
        }
    }
}
