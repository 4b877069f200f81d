package tinford.fleet.settings;

import java.util.List;

/** A file that can't be used; its message has one line a fault. */
public final class InvalidSettings extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidSettings(List<String> faults) {
        super(String.join("\n", faults));
    }
}
