package tinford.fleet.config;

/** Thrown for data that is not a valid configuration, proposal, message or snapshot. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String key;
    private final String expected;

    /**
     * Creates an exception for one field.
     *
     * @param key the path of the invalid field
     * @param expected what was expected there
     */
    public InvalidConfigurationException(String key, String expected) {
        super(new ValidationError(key, expected).toString());
        this.key = key;
        this.expected = expected;
    }

    /** Creates an exception with a cause. */
    public InvalidConfigurationException(String key, String expected, Throwable cause) {
        super(new ValidationError(key, expected).toString(), cause);
        this.key = key;
        this.expected = expected;
    }

    /** The path of the invalid field. */
    public String key() {
        return key;
    }

    /** What was expected there. */
    public String expected() {
        return expected;
    }

    /** The error for the response to a client. */
    public ValidationError error() {
        return new ValidationError(key, expected);
    }
}
