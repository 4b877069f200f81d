package tinford.protocol;

import java.util.List;

/** The figures that a server reports with its answer, as name=value,name=value. */
public final class UsageReport {
    private UsageReport() {}

    /** The value with that name; {@code absent} when there is none, or no number from 0 on. */
    public static double value(String text, String name, double absent) {
        int position = 0;
        while (position < text.length()) {
            int comma = text.indexOf(',', position);
            int end = comma < 0 ? text.length() : comma;
            int equals = position + name.length();
            if (text.startsWith(name, position) && equals < end && text.charAt(equals) == '=') {
                double value = NumberParser.parse(text.substring(equals + 1, end));
                return value >= 0 ? value : absent;
            }
            position = end + 1;
        }
        return absent;
    }

    /**
     * A load report: the values with those names, in their order and 0 for absent ones, or null
     * when the text has none of them.
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
