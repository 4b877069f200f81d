package tinford.settings;

/** Input that is not allowed; the message names the place, the field and what was expected. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidSettingsException(String where, String field, String expected) {
        super(where + ": " + field + ": expected " + expected);
    }
}
