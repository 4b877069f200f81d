package tinford.fleet.control;

/** The log offers a snapshot that can't be restored, so this voter can't go on. */
final class UnreadableLogSnapshotException extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /**
     * @param index the last log entry that the snapshot covers
     */
    UnreadableLogSnapshotException(long index, Throwable cause) {
        super("log snapshot at " + index, cause);
    }
}
