package tinford.fleet.settings;

import java.util.List;

/** A file that can't be used; its message has one line a fault. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidOperatorFileException(List<String> errors) {
        super(String.join("\n", errors));
    }
}
