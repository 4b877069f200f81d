package tinford.settings;

/**
 * A configuration, an endpoint list or a message of the simulator is not valid. The message names
 * the input, the field and what was expected, in one line that is shown to the operators.
 */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param source the input, for example "configuration" or "line 12"
     * @param field path of the field within the input, its parts separated by dots
     * @param expected what the field has to be
     */
    public InvalidSettingsException(String source, String field, String expected) {
        super(source + ": " + field + ": expected " + expected);
    }
}
