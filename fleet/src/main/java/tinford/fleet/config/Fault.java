package tinford.fleet.config;

/** One thing that is wrong: where, and what was expected there. */
public record Fault(String key, String expected) {
    @Override
    public String toString() {
        return key + ": expected " + expected;
    }
}
