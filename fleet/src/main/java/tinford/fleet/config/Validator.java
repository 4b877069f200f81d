package tinford.fleet.config;

import java.util.List;

/** Decides whether a configuration is sound; nothing comes into force that isn't. */
public final class Validator {
    private Validator() {}

    /**
     * What is wrong with changes to a sound configuration; empty where the result is sound.
     *
     * @param before sound
     */
    public static List<Fault> check(Configuration before, List<Change> changes) {
        throw new UnsupportedOperationException();
    }

    /** What is wrong with a whole configuration; empty where it is sound. */
    public static List<Fault> check(Configuration whole) {
        throw new UnsupportedOperationException();
    }
}
