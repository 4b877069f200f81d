package tinford.fleet.config;

import java.util.List;
import java.util.stream.Collectors;

/** Why a proposal was refused: at least one fault, the first {@link ConfigurationLimits#FAULTS}. */
public record Rejection(List<ValidationError> faults) {
    public Rejection {
        if (faults.isEmpty()) {
            throw new IllegalArgumentException("a refusal needs a fault");
        }
        faults =
                List.copyOf(faults.subList(0, Math.min(faults.size(), ConfigurationLimits.FAULTS)));
    }

    @Override
    public String toString() {
        return faults.stream().map(ValidationError::toString).collect(Collectors.joining("; "));
    }
}
