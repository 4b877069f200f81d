package tinford.lab.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether a run put ceilings to the test: in each phase of a change of plan some customer has to
 * come to its ceiling, or the run shows nothing of it.
 */
final class CeilingCoverage {
    private CeilingCoverage() {}

    /**
     * What the run does not show.
     *
     * @param leastLeft by phase, units that the customer nearest to its ceiling had left of it
     * @param phases how many there should be
     * @param largestRequest a customer with fewer units left than this has come to its ceiling
     */
    static List<String> missing(List<Double> leastLeft, int phases, double largestRequest) {
        List<String> missing = new ArrayList<>();
        if (leastLeft.size() < phases) {
            missing.add(leastLeft.size() + " phases of the plans came into force, not " + phases);
        }
        for (int phase = 0; phase < leastLeft.size(); phase++) {
            if (leastLeft.get(phase) > largestRequest) {
                missing.add("phase " + phase + ": no customer came to its ceiling");
            }
        }
        return missing;
    }
}
