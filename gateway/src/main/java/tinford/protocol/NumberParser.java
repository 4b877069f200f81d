package tinford.protocol;

/**
 * Numbers as they are written on every wire here: digits, and a sign, a point or an exponent at
 * most.
 */
public final class NumberParser {
    private static final int LONGEST = 32;

    private NumberParser() {}

    /**
     * Not a number where the text is none, or none that is finite: Java itself would take "NaN",
     * "0x1p3" and "5d".
     */
    public static double parse(String text) {
        boolean digit = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            digit |= c >= '0' && c <= '9';
            if ((c < '0' || c > '9') && "+-.eE".indexOf(c) < 0) {
                return Double.NaN;
            }
        }
        if (!digit || text.length() > LONGEST) {
            return Double.NaN;
        }
        try {
            double found = Double.parseDouble(text);
            return Double.isInfinite(found) ? Double.NaN : found;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
