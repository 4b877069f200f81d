package tinford.fleet.migration;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * All that is wrong with one plan, a line each: file, line where it is found, frontend, key, and
 * what was expected.
 */
public final class PlanErrors {
    private static final Pattern HEAD = Pattern.compile("\\s*\\[\\[\\s*frontends\\s*]].*");
    private final String file;
    private final String[] lines;
    private final List<String> errors = new ArrayList<>();

    PlanErrors(String file, String text) {
        this.file = file;
        this.lines = text.split("\n", -1);
    }

    /**
     * @param frontend which one of the plan's, or -1
     */
    void require(boolean good, int frontend, String key, String expected) {
        if (!good) {
            add(
                    line(frontend, key),
                    (frontend < 0 ? "" : "frontends[" + (frontend + 1) + "].") + key,
                    expected);
        }
    }

    void add(int line, String key, String expected) {
        String all = file + (line > 0 ? ":" + line : "") + ": " + key + ": expected " + expected;
        if (!errors.contains(all)) {
            errors.add(all);
        }
    }

    boolean isEmpty() {
        return errors.isEmpty();
    }

    void throwIfAny() {
        if (!errors.isEmpty()) {
            throw new InvalidPlanException(List.copyOf(errors));
        }
    }

    /**
     * Only to show a place to a person: the reading itself is the library's. 0 when it isn't found.
     */
    private int line(int frontend, String key) {
        Pattern pair = Pattern.compile("\\s*" + Pattern.quote(key) + "\\s*=.*");
        int at = 0;
        for (int head = -1; head < frontend && at < lines.length; at++) {
            head += HEAD.matcher(lines[at]).matches() ? 1 : 0;
        }
        int first = at;
        for (; at < lines.length && !(frontend >= 0 && lines[at].startsWith("[")); at++) {
            if (pair.matcher(lines[at]).matches()) {
                return at + 1;
            }
        }
        return frontend < 0 ? 0 : first;
    }

    /** A plan that isn't taken, with every fault in a line of its own. */
    public static final class InvalidPlanException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final ArrayList<String> faults;

        InvalidPlanException(List<String> faults) {
            super(String.join("\n", faults));
            this.faults = new ArrayList<>(faults);
        }

        public List<String> errors() {
            return List.copyOf(faults);
        }
    }
}
