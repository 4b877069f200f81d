package tinford.lab.control;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** A run that does not put ceilings to the test says so. */
public class CeilingCoverageTest {
    private static final double LARGEST = 4;

    @Test
    public void customersAtTheirCeilingInEachPhaseAreEnough() {
        assertEquals(CeilingCoverage.missing(List.of(1.0, 4.0, -0.3), 3, LARGEST), List.of());
    }

    @Test
    public void aPhaseInWhichNoneComesToItIsNamed() {
        assertEquals(
                CeilingCoverage.missing(List.of(1.0, 4.1, 0.5), 3, LARGEST),
                List.of("phase 1: no customer came to its ceiling"));
    }

    @Test
    public void aPhaseWithoutRequestsIsNamed() {
        List<Double> none = List.of(1.0, Double.POSITIVE_INFINITY, 0.5);
        assertEquals(CeilingCoverage.missing(none, 3, LARGEST).size(), 1);
    }

    @Test
    public void aChangeOfPlanThatNeverCameIntoForceIsNamed() {
        assertEquals(
                CeilingCoverage.missing(List.of(1.0), 3, LARGEST),
                List.of("1 phases of the plans came into force, not 3"));
    }
}
