package tinford.lab.scale;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** How many bytes a call on the counter and its answer take in RESP2. */
final class CounterCommand {
    private static final String VERB = "CNT.ADD";
    private static final double LONGEST_KEEP_MS = 60_000;

    private CounterCommand() {}

    static int callBytes(long name, double amount, double keepMs) {
        long keep = (long) Math.min(LONGEST_KEEP_MS, Math.max(1, Math.ceil(keepMs)));
        return "*4\r\n".length()
                + bulkBytes(VERB)
                + bulkBytes(Long.toString(name))
                + bulkBytes(number(amount))
                + bulkBytes(Long.toString(keep));
    }

    static int answerBytes(double total) {
        return bulkBytes(number(total));
    }

    private static int bulkBytes(String text) {
        return ("$" + text.length() + "\r\n" + text + "\r\n").length();
    }

    /** Whole numbers without a fraction, others with six decimals. */
    private static String number(double value) {
        return value == Math.rint(value)
                ? Long.toString((long) value)
                : BigDecimal.valueOf(value).setScale(6, RoundingMode.HALF_EVEN).toPlainString();
    }
}
