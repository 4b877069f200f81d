package tinford.protocol;

/**
 * Thrown when the input from a peer violates its protocol. It has no stack trace, because its cause
 * is the peer's input and not this program.
 */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param expected what the protocol allows, as reported to the peer or in the log
     */
    public ProtocolException(String expected) {
        super("expected " + expected, null, false, false);
    }
}
