package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;

/** Collects faults, the first {@link ConfigurationLimits#FAULTS} of them. */
final class FaultList {
    private final List<Fault> faults = new ArrayList<>();

    /** Notes a fault unless the condition holds. */
    void expect(boolean condition, String key, String expected) {
        if (!condition && faults.size() < ConfigurationLimits.FAULTS) {
            faults.add(new Fault(key, expected));
        }
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    List<Fault> toList() {
        return List.copyOf(faults);
    }
}
