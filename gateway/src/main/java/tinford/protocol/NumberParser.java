package tinford.protocol;

/**
 * Parses decimal numbers in the form that all protocols of the gateway use. {@link
 * Double#parseDouble} alone would also accept "NaN", "0x1p3" and "5d".
 */
public final class NumberParser {
    private static final int MAX_LENGTH = 32;
    private static final String NON_DIGIT_CHARACTERS = "+-.eE";

    private NumberParser() {}

    /** The number, or NaN if the text is not a finite decimal number. */
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
            if (!isDigit && NON_DIGIT_CHARACTERS.indexOf(c) < 0) {
                return false;
            }
            hasDigit |= isDigit;
        }
        return hasDigit;
    }
}
