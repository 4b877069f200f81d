package tinford.fleet.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import tinford.fleet.membership.GossipRecord;
import tinford.fleet.membership.Incarnation;

/** The admission threshold that gateways work out from the same records. */
public class AdmissionThresholdTest {
    private static final double WINDOW = 4000;

    /** Asked for 100 units a second of each worth given, of which so many come back in time. */
    static GossipRecord record(int gateway, double good, boolean waits, double... worths) {
        GossipRecord s = new GossipRecord(new Incarnation(gateway, 1), 1);
        for (double w : worths) s.offeredUnits[GossipRecord.classOf(w)] += 100;
        s.onTimeUnits = good;
        s.onTime = s.firstAttempts = 40;
        s.queued = waits ? 8 : 0;
        return s;
    }

    private static double run(
            AdmissionThreshold line, FixedMembership heard, double from, double until) {
        for (double t = from; t < until; t += 100) {
            line.update(t, heard);
            for (GossipRecord s : heard.freshRecords()) {
                if (s.capacity < 1e3) s.capacity = line.capacity();
            } // the others see the same
        }
        return line.threshold();
    }

    @DataProvider
    public Object[][] strains() {
        double inf = Double.POSITIVE_INFINITY;
        return new Object[][] {
            // name, records, least and most of the threshold, least and most of the part
            {
                "even, half is borne",
                new GossipRecord[] {
                    record(1, 200, true, 1, 2, 4, 8), record(2, 200, true, 1, 2, 4, 8)
                },
                2,
                4,
                0,
                1
            },
            {
                "uneven: worth comes through one only",
                new GossipRecord[] {record(1, 100, true, 8, 8), record(2, 100, true, 1, 1)},
                1,
                8,
                0,
                1
            },
            {
                "one class only",
                new GossipRecord[] {record(1, 50, true, 3), record(2, 50, true, 3)},
                2.8,
                3,
                0.45,
                0.55
            },
            {
                "worth equal everywhere",
                new GossipRecord[] {record(1, 150, true, 2, 2, 2), record(2, 150, true, 2, 2, 2)},
                2,
                2,
                0.45,
                0.55
            },
            {
                "one joins cold",
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
                "calm",
                new GossipRecord[] {
                    record(1, 400, false, 1, 2, 4, 8), record(2, 400, false, 1, 2, 4, 8)
                },
                0,
                0,
                1,
                1
            },
            {"nobody heard", new GossipRecord[] {record(1, 100, true, 1, 2, 4, 8)}, 0, 0, 1, 1},
            {
                "figures that are none",
                new GossipRecord[] {
                    record(1, Double.NaN, true, 1), record(2, inf, true, 1), record(3, 50, true, 1)
                },
                0,
                1,
                0,
                1
            },
        };
    }

    @Test(dataProvider = "strains")
    public void thresholdAdmitsByPriorityWeight(
            String name,
            GossipRecord[] records,
            double least,
            double most,
            double leastPart,
            double mostPart) {
        FixedMembership heard = new FixedMembership(records.length + 1);
        for (GossipRecord s : records) heard.add(s);
        AdmissionThreshold line = new AdmissionThreshold(WINDOW);
        double threshold = run(line, heard, 0, 4000);
        assertTrue(threshold >= least - 0.01 && threshold <= most + 0.01, name + ": " + threshold);
        assertTrue(
                line.shareAtThreshold() >= leastPart && line.shareAtThreshold() <= mostPart,
                name + ": " + line.shareAtThreshold());
    }

    @Test
    public void thresholdIsGoneTwoWindowsAfterItsCauseWhateverTheDemand() {
        AdmissionThreshold line = new AdmissionThreshold(WINDOW);
        FixedMembership strained =
                new FixedMembership(2)
                        .add(record(1, 100, true, 1, 2, 4, 8))
                        .add(record(2, 100, true, 1, 2, 4, 8));
        assertTrue(run(line, strained, 0, 10_000) > 0);
        FixedMembership calm =
                new FixedMembership(2)
                        .add(record(1, 100, false, 1, 2, 4, 8))
                        .add(record(2, 100, false, 1, 2, 4, 8));
        assertEquals(run(line, calm, 10_000, 10_000 + 2 * WINDOW), 0.0);
    }

    @Test
    public void gatewayWithoutPeersHasNoThreshold() {
        AdmissionThreshold line = new AdmissionThreshold(WINDOW);
        FixedMembership heard =
                new FixedMembership(2)
                        .add(record(1, 100, true, 1, 8))
                        .add(record(2, 100, true, 1, 8));
        assertTrue(run(line, heard, 0, 3000) > 0);
        heard.records.remove(2);
        line.update(3000, heard);
        assertEquals(line.threshold(), 0.0);
        assertEquals(line.capacity(), 0.0);
    }

    @Test
    public void joiningGatewayAdoptsTheThresholdOfTheOthers() {
        FixedMembership heard = new FixedMembership(3);
        for (int g = 1; g <= 3; g++) heard.add(record(g, 100, true, 1, 2, 4, 8));
        AdmissionThreshold old = new AdmissionThreshold(WINDOW),
                joins = new AdmissionThreshold(WINDOW);
        run(old, heard, 0, 5000);
        old.update(5000, heard);
        joins.update(5000, heard);
        assertEquals(joins.threshold(), old.threshold());
        assertEquals(joins.shareAtThreshold(), old.shareAtThreshold(), 0.02);
    }

    /**
     * One of ten tells absurd figures: the line moves by what one record may weigh, and what the
     * others ask for is passed as far.
     */
    @Test
    public void oneLyingRecordChangesTotalsByItsBoundOnly() {
        Random chance = new Random(5);
        for (int drawn = 0; drawn < 200; drawn++) {
            FixedMembership heard = new FixedMembership(10);
            for (int g = 1; g < 10; g++)
                heard.add(record(g, 150 + chance.nextInt(100), true, 1, 2, 4, 8));
            double demand = new FleetTotals(heard).demand,
                    good = new FleetTotals(heard).onTimeUnits;
            GossipRecord lie = record(10, 1e9 * chance.nextDouble(), true, 8);
            lie.offeredUnits[GossipRecord.PRIORITY_CLASSES - 1] = Math.pow(10, chance.nextInt(12));
            lie.capacity = Math.pow(10, 3 + chance.nextInt(6));
            heard.add(lie);
            FleetTotals with = new FleetTotals(heard);
            assertTrue(
                    with.demand <= demand * (1 + FleetTotals.MAX_FACTOR_OF_MEAN / 9) + 1,
                    "demand " + with.demand);
            assertTrue(
                    with.onTimeUnits <= good * (1 + FleetTotals.MAX_FACTOR_OF_MEAN / 9) + 1,
                    "good " + with.onTimeUnits);
            AdmissionThreshold line = new AdmissionThreshold(WINDOW);
            assertTrue(
                    run(line, heard, 0, 6000) <= 8.01 && line.capacity() < 1e5,
                    "line " + line.threshold());
        }
    }
}
