package tinford.protocol;

/** Bytes that the protocol does not allow; the message says what was expected. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    public ProtocolException(String expected) {
        super("expected " + expected, null, false, false);
    }
}
