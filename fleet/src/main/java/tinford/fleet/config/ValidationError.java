package tinford.fleet.config;

import java.util.regex.Pattern;

/**
 * One error in a proposal or a configuration, on one line of bounded length.
 *
 * @param key the path of the field, such as {@code changes[0].putRoute.timeoutMs}
 * @param expected what was expected there
 */
public record ValidationError(String key, String expected) {
    private static final Pattern CONTROL_CHARACTERS = Pattern.compile("\\p{Cntrl}+");

    public ValidationError {
        key = oneLine(key);
        expected = oneLine(expected);
    }

    @Override
    public String toString() {
        return key + ": expected " + expected;
    }

    /** Truncates to {@link ConfigurationLimits#MAX_TEXT_LENGTH} and removes control characters. */
    static String oneLine(String text) {
        String cut =
                text.substring(0, Math.min(text.length(), ConfigurationLimits.MAX_TEXT_LENGTH));
        return CONTROL_CHARACTERS.matcher(cut).replaceAll(" ");
    }
}
