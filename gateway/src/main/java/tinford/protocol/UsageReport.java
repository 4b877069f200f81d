package tinford.protocol;

import java.util.List;

/** The figures that a server reports with its response, as name=value,name=value. */
public final class UsageReport {
    private UsageReport() {}

    /** The value with that name, or the default if it is missing, negative or not a number. */
    public static double value(String text, String name, double defaultValue) {
        int position = 0;
        while (position < text.length()) {
            int comma = text.indexOf(',', position);
            int end = comma < 0 ? text.length() : comma;
            int equals = position + name.length();
            if (text.startsWith(name, position) && equals < end && text.charAt(equals) == '=') {
                double value = NumberParser.parse(text.substring(equals + 1, end));
                return value >= 0 ? value : defaultValue;
            }
            position = end + 1;
        }
        return defaultValue;
    }

    /**
     * Parses a load report: the values with the given names, in the order of the names, with 0 for
     * missing ones; null if the text has none of them.
     */
    public static double[] loadReport(String text, List<String> names) {
        double[] values = new double[names.size()];
        boolean hasAny = false;
        for (int i = 0; i < values.length; i++) {
            double value = value(text, names.get(i), Double.NaN);
            if (!Double.isNaN(value)) {
                values[i] = value;
                hasAny = true;
            }
        }
        return hasAny ? values : null;
    }
}
