package tinford.fleet.migration;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Collects all errors of one plan, a line each: file, line where it is found, frontend, key, and
 * what was expected.
 */
public final class PlanErrors {
    /** For errors that belong to no frontend. */
    static final int NO_FRONTEND = -1;

    private static final Pattern FRONTEND_HEADER =
            Pattern.compile("\\s*\\[\\[\\s*frontends\\s*]].*");
    private final String file;
    private final String[] lines;
    private final List<String> errors = new ArrayList<>();

    /**
     * @param text of the file, where errors are located
     */
    PlanErrors(String file, String text) {
        this.file = file;
        this.lines = text.split("\n", -1);
    }

    /**
     * Adds an error unless the condition holds.
     *
     * @param frontend index in the plan, or {@link #NO_FRONTEND}
     */
    void require(boolean condition, int frontend, String key, String expected) {
        if (!condition) {
            String prefix = frontend < 0 ? "" : "frontends[" + (frontend + 1) + "].";
            add(findLine(frontend, key), prefix + key, expected);
        }
    }

    /**
     * Adds an error; an equal one is added once.
     *
     * @param line counted from 1; 0 where it is unknown
     */
    void add(int line, String key, String expected) {
        String location = file + (line > 0 ? ":" + line : "");
        String error = location + ": " + key + ": expected " + expected;
        if (!errors.contains(error)) {
            errors.add(error);
        }
    }

    boolean isEmpty() {
        return errors.isEmpty();
    }

    /**
     * @throws InvalidPlanException where there are errors
     */
    void throwIfAny() {
        if (!errors.isEmpty()) {
            throw new InvalidPlanException(List.copyOf(errors));
        }
    }

    /**
     * Finds the line of a key, for people only: the plan is parsed by a library. 0 where it isn't
     * found.
     */
    private int findLine(int frontend, String key) {
        Pattern assignment = Pattern.compile("\\s*" + Pattern.quote(key) + "\\s*=.*");
        int index = 0;
        for (int header = -1; header < frontend && index < lines.length; index++) {
            header += FRONTEND_HEADER.matcher(lines[index]).matches() ? 1 : 0;
        }
        int headerLine = index;
        while (index < lines.length && !(frontend >= 0 && lines[index].startsWith("["))) {
            if (assignment.matcher(lines[index]).matches()) {
                return index + 1;
            }
            index++;
        }
        return frontend < 0 ? 0 : headerLine;
    }

    /** A plan that is not accepted, with each error in a line of the message. */
    public static final class InvalidPlanException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final ArrayList<String> errors;

        InvalidPlanException(List<String> errors) {
            super(String.join("\n", errors));
            this.errors = new ArrayList<>(errors);
        }

        public List<String> errors() {
            return List.copyOf(errors);
        }
    }
}
