package tinford.lab.fleet;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Bytes by second and by connection, by a clock of the test's own. */
public class TrafficMeterTest {
    private static final int ONE = 1;
    private static final int OTHER = 2;
    private double now;
    private final TrafficMeter meter = new TrafficMeter(() -> now);

    private void passed(double ms, int connection, int bytes) {
        now = ms;
        meter.passed(connection, bytes);
    }

    private void begin() {
        now = 0;
        meter.reset();
    }

    @Test
    public void countsBySecond() {
        begin();
        passed(100, ONE, 10);
        passed(900, OTHER, 20);
        passed(2500, ONE, 5);
        now = 4000;
        TrafficMeter.Reading reading = meter.reading();
        assertEquals(reading.total(), 35);
        assertEquals(reading.seconds(), 4.0);
        assertEquals(reading.bySecond(), new long[] {30, 0, 5, 0, 0});
    }

    @Test
    public void theWorstIsOfOneConnectionInTenSeconds() {
        begin();
        passed(500, ONE, 100);
        passed(9_500, ONE, 50);
        passed(10_500, ONE, 70);
        passed(10_600, OTHER, 90);
        passed(40_000, ONE, 119);
        assertEquals(meter.reading().worstConnection(), 150);
    }

    @Test
    public void aPortThatIsUsedAgainIsAnotherConnection() {
        begin();
        passed(500, ONE, 100);
        meter.closed(ONE);
        passed(600, ONE, 90);
        assertEquals(meter.reading().worstConnection(), 100);
    }

    @Test
    public void aLongRunKeepsItsSeconds() {
        begin();
        for (int second = 0; second < 300; second++) {
            passed(1000.0 * second, ONE, 1);
        }
        assertEquals(meter.reading().total(), 300);
        assertEquals(meter.reading().bySecond().length, 300);
    }

    @Test
    public void resetCountsAnew() {
        begin();
        passed(500, ONE, 100);
        meter.reset();
        assertEquals(meter.reading().total(), 0);
        assertEquals(meter.reading().worstConnection(), 0);
    }
}
