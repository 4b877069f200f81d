package tinford.fleet.settings;

import java.util.List;

/** Thrown for an invalid operator file; its message has one line per error. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidOperatorFileException(List<String> errors) {
        super(String.join("\n", errors));
    }
}
