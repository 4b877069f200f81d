package tinford.protocol;

import java.util.List;

/** The figures that a server sends beside an answer, as name=value,name=value. */
public final class UsageReport {
    private UsageReport() {}

    /** The value of that name in the text, or {@code absent}. */
    public static double value(String text, String name, double absent) {
        for (int at = 0; at < text.length(); ) {
            int stop = text.indexOf(',', at);
            stop = stop < 0 ? text.length() : stop;
            if (text.startsWith(name, at)
                    && at + name.length() < stop
                    && text.charAt(at + name.length()) == '=') {
                double found = NumberParser.parse(text.substring(at + name.length() + 1, stop));
                return found >= 0 ? found : absent;
            }
            at = stop + 1;
        }
        return absent;
    }

    /**
     * A load report: the values of the names given, in their order, or null when the text has none
     * of them.
     */
    public static double[] values(String text, List<String> names) {
        double[] found = new double[names.size()];
        boolean any = false;
        for (int i = 0; i < found.length; i++) {
            found[i] = value(text, names.get(i), Double.NaN);
            any |= !Double.isNaN(found[i]);
            found[i] = Double.isNaN(found[i]) ? 0 : found[i];
        }
        return any ? found : null;
    }
}
