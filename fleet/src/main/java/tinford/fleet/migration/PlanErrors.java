package tinford.fleet.migration;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Collects all errors of a plan. Each is one line: the file, the line if it is known, the frontend,
 * the key, and what was expected.
 */
public final class PlanErrors {
    /** Index for errors that belong to no frontend. */
    static final int NO_FRONTEND = -1;

    private static final Pattern FRONTEND_HEADER =
            Pattern.compile("\\s*\\[\\[\\s*frontends\\s*]].*");
    private final String file;
    private final String[] lines;
    private final List<String> errors = new ArrayList<>();

    /**
     * @param text content of the file, in which the lines of errors are found
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
     * Adds an error, unless an equal one was added before.
     *
     * @param line from 1; 0 if it is unknown
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
     * @throws InvalidPlanException if there are errors
     */
    void throwIfAny() {
        if (!errors.isEmpty()) {
            throw new InvalidPlanException(List.copyOf(errors));
        }
    }

    /**
     * Finds the line of a key, or else of the frontend's header; 0 if neither is found. Used in
     * messages only; the plan itself is parsed by a library.
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

    /** A plan is invalid. The message contains one line for each error. */
    public static final class InvalidPlanException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final ArrayList<String> errors;

        InvalidPlanException(List<String> errors) {
            super(String.join("\n", errors));
            this.errors = new ArrayList<>(errors);
        }

        /** The errors, one line each. */
        public List<String> errors() {
            return List.copyOf(errors);
        }
    }
}
