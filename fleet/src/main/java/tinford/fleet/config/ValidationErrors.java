package tinford.fleet.config;

import java.util.ArrayList;
import java.util.List;

/** Collects validation errors, at most {@link ConfigurationLimits#MAX_ERRORS}. */
final class ValidationErrors {
    private final List<ValidationError> errors = new ArrayList<>();

    /** Adds an error unless the condition holds. */
    void expect(boolean condition, String key, String expected) {
        if (!condition && errors.size() < ConfigurationLimits.MAX_ERRORS) {
            errors.add(new ValidationError(key, expected));
        }
    }

    boolean isEmpty() {
        return errors.isEmpty();
    }

    List<ValidationError> toList() {
        return List.copyOf(errors);
    }
}
