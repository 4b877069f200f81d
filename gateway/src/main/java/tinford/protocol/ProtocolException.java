package tinford.protocol;

/** A peer sent what its protocol does not allow. It has no stack trace, as peers cause it. */
public final class ProtocolException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param expected what the protocol allows, as it is reported to the peer or in the log
     */
    public ProtocolException(String expected) {
        super("expected " + expected, null, false, false);
    }
}
