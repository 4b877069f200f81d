package tinford.handed;

/** Input that is not allowed; the message names the place, the field and what was expected. */
public final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public BadInput(String where, String field, String expected) {
        super(where + ": " + field + ": expected " + expected);
    }
}
