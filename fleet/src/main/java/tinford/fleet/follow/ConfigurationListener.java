package tinford.fleet.follow;

import java.util.List;
import tinford.fleet.config.ApplyResult;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;

/** Brings configurations into force. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Called on the client's executor, never concurrently. Returns when the configuration is in
     * force or is rejected; until then the client does nothing else.
     *
     * @param changes lead from the configuration in force to this one; null if they are not known
     *     and everything may differ
     */
    ApplyResult apply(Configuration configuration, List<Change> changes);
}
