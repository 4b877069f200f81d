package tinford.transport;

/** Every way in which a connection can end. */
public enum CloseReason {
    /** Refused, or the address could not be tried. */
    REFUSED,
    /** Not up within the time given to it. */
    NEVER_UP,
    /** No descriptor was left for it. */
    NO_ROOM,
    /** Reset, or failed under a read or a write. */
    BROKEN,
    /** The other side has ended its sending. */
    ENDED,
    /** What came can't be followed any more. */
    MALFORMED,
    /** More waits in it than its bounds allow. */
    OVERFULL,
    /** Open, but nothing came for as long as was waited. */
    SILENT,
    /** Open and silent, while others to the same party brought answers to what was sent later. */
    PASSED_BY,
    /** Given up from here while it was in use. */
    DROPPED,
    /** Closed from here while nothing was in it. */
    RETIRED
}
