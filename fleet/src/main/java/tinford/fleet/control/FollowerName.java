package tinford.fleet.control;

import java.util.regex.Pattern;
import tinford.fleet.config.ConfigurationLimits;

/** Names of fleets, regions, servers and followers, as they stand in queries and paths. */
final class FollowerName {
    static final String EXPECTED =
            "1 to "
                    + ConfigurationLimits.NAME_LENGTH
                    + " of A-Z a-z 0-9 _ . -, not beginning with . or -";

    private static final Pattern VALID =
            Pattern.compile(
                    "[A-Za-z0-9_][A-Za-z0-9_.-]{0," + (ConfigurationLimits.NAME_LENGTH - 1) + "}");

    private FollowerName() {}

    static boolean isValid(String text) {
        return VALID.matcher(text).matches();
    }
}
