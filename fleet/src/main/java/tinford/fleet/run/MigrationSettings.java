package tinford.fleet.run;

import java.util.Map;
import tinford.fleet.migration.MigrationPlan;

/**
 * Settings of migrations, checked by {@link MigrationSettingsReader}.
 *
 * @param homeGroups the first group of each frontend that may ever migrate; the same at all
 *     gateways for as long as the log lasts
 * @param plan that the command {@code begin} begins, or null
 * @param warmUpMs from a server's start until it counts as warm
 */
record MigrationSettings(Map<String, String> homeGroups, MigrationPlan plan, double warmUpMs) {}
