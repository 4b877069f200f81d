package tinford.fleet.config;

import java.util.regex.Pattern;

/**
 * One thing that is wrong in a proposal or a configuration, in one line of bounded length.
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

    /** The text without control characters, cut to {@link ConfigurationLimits#MAX_TEXT_LENGTH}. */
    static String oneLine(String text) {
        String cut =
                text.substring(0, Math.min(text.length(), ConfigurationLimits.MAX_TEXT_LENGTH));
        return CONTROL_CHARACTERS.matcher(cut).replaceAll(" ");
    }
}
