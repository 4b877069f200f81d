package tinford.fleet.config;

/** Bytes or text that can't be read as what they should be. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String key;
    private final String expected;

    public InvalidConfigurationException(String key, String expected) {
        super(new ValidationError(key, expected).toString());
        this.key = key;
        this.expected = expected;
    }

    public InvalidConfigurationException(String key, String expected, Throwable cause) {
        super(new ValidationError(key, expected).toString(), cause);
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

    public ValidationError error() {
        return new ValidationError(key, expected);
    }
}
