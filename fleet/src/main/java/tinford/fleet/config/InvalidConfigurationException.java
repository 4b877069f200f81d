package tinford.fleet.config;

/** Data that can't be read as a configuration, proposal, message or snapshot. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String key;
    private final String expected;

    /**
     * @param key the path of the field that is invalid
     * @param expected what was expected there
     */
    public InvalidConfigurationException(String key, String expected) {
        super(new ValidationError(key, expected).toString());
        this.key = key;
        this.expected = expected;
    }

    /** With the exception that showed it. */
    public InvalidConfigurationException(String key, String expected, Throwable cause) {
        super(new ValidationError(key, expected).toString(), cause);
        this.key = key;
        this.expected = expected;
    }

    /** The path of the field that is invalid. */
    public String key() {
        return key;
    }

    /** What was expected there. */
    public String expected() {
        return expected;
    }

    /** The same as a validation error, for the response to a client. */
    public ValidationError error() {
        return new ValidationError(key, expected);
    }
}
