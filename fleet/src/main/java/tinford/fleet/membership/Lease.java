package tinford.fleet.membership;

/**
 * A lease: for how long one incarnation may act on what it was granted, by clocks that differ by
 * {@code apart} ms at most. The one place that compares times of two machines.
 *
 * @param expiresAtMs on the holder's own clock: its time when it asked, and the length
 * @param fencingToken index of the entry that granted it: a later grant has a higher one
 */
public record Lease(Incarnation holder, double expiresAtMs, long fencingToken) {
    /** Asked by the holder, before each use, with its own time. */
    public boolean isHeldAt(double ownNow) {
        return ownNow < expiresAtMs;
    }

    /**
     * Asked by all others, with the log's time: from now on the holder surely acts on it no more.
     */
    public boolean isSurelyExpired(double logNow, double apart) {
        return logNow >= expiresAtMs + apart;
    }

    /**
     * And nothing that it opened is open any more: {@code linger} covers the servers' idle time and
     * the longest client timeout.
     */
    public boolean isSurelyClosed(double logNow, double apart, double linger) {
        return logNow >= expiresAtMs + apart + linger;
    }
}
