package tinford.protocol;

/**
 * Parses decimal numbers as all protocols of the gateway write them. {@link Double#parseDouble}
 * alone would accept "NaN", "0x1p3" and "5d" as well.
 */
public final class NumberParser {
    private static final int MAX_LENGTH = 32;
    private static final String OTHER_CHARACTERS = "+-.eE";

    private NumberParser() {}

    /** The number, or NaN when the text is no finite decimal number. */
    public static double parse(String text) {
        if (text.length() > MAX_LENGTH || !isDecimal(text)) {
            return Double.NaN;
        }
        try {
            double number = Double.parseDouble(text);
            return Double.isInfinite(number) ? Double.NaN : number;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static boolean isDecimal(String text) {
        boolean hasDigit = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            boolean isDigit = c >= '0' && c <= '9';
            if (!isDigit && OTHER_CHARACTERS.indexOf(c) < 0) {
                return false;
            }
            hasDigit |= isDigit;
        }
        return hasDigit;
    }
}
