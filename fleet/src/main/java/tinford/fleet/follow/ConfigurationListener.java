package tinford.fleet.follow;

import java.util.List;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;

/** Brings configurations into force. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Called on the client's executor, never twice at once. It returns once the configuration is in
     * force or is refused; until then the client does nothing else.
     *
     * @param changes what makes the configuration in force into this one; null where that is not
     *     known, and everything may differ
     * @return why it can't be brought into force, with key and expectation, while the one before
     *     stays; null where it is in force
     */
    String apply(Configuration configuration, List<Change> changes);
}
