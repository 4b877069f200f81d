package tinford.benchlink;

/** Input that the wire does not allow; the message names line, field and what was expected. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(int line, String field, String expected) {
        super("line " + line + ": " + field + ": expected " + expected);
    }
}
