package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;

/** Collects faults, the first {@link ConfigurationLimits#FAULTS} of them. */
final class ValidationErrors {
    private final List<ValidationError> faults = new ArrayList<>();

    /** Notes a fault unless the condition holds. */
    void expect(boolean condition, String key, String expected) {
        if (!condition && faults.size() < ConfigurationLimits.FAULTS) {
            faults.add(new ValidationError(key, expected));
        }
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    List<ValidationError> toList() {
        return List.copyOf(faults);
    }
}
