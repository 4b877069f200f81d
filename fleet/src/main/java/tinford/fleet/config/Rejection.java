package tinford.fleet.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Why a proposal was rejected.
 *
 * @param errors at least one error; only the first {@link ConfigurationLimits#MAX_ERRORS} are kept
 */
public record Rejection(List<ValidationError> errors) {
    public Rejection {
        if (errors.isEmpty()) {
            throw new IllegalArgumentException("rejection: expected at least one error");
        }
        errors =
                List.copyOf(
                        errors.subList(0, Math.min(errors.size(), ConfigurationLimits.MAX_ERRORS)));
    }

    @Override
    public String toString() {
        return errors.stream().map(ValidationError::toString).collect(Collectors.joining("; "));
    }
}
