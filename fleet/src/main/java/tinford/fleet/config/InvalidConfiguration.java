package tinford.fleet.config;

/** Bytes or text that can't be read as what they should be. */
public final class InvalidConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    private final String key;
    private final String expected;

    public InvalidConfiguration(String key, String expected) {
        super(new Fault(key, expected).toString());
        this.key = key;
        this.expected = expected;
    }

    public InvalidConfiguration(String key, String expected, Throwable cause) {
        super(new Fault(key, expected).toString(), cause);
        this.key = key;
        this.expected = expected;
    }

    /** Where the fault is. */
    public String key() {
        return key;
    }

    /** What was expected there. */
    public String expected() {
        return expected;
    }

    public Fault fault() {
        return new Fault(key, expected);
    }
}
