package tinford.fleet.membership;

/**
 * The right of one incarnation to act on what it was granted, until a time. Clocks differ by a
 * bounded skew; only this class compares times of two machines.
 *
 * @param expiresAtMs on the holder's own clock: the time of its request plus the lease's length
 * @param fencingToken index of the log entry that granted it; a later grant has a higher one
 */
public record Lease(Incarnation holder, double expiresAtMs, long fencingToken) {
    /** Whether the holder may act; to be asked by itself before each use, with its own time. */
    public boolean isHeldAt(double ownNowMs) {
        return ownNowMs < expiresAtMs;
    }

    /** Whether the holder surely acts on it no more, at a time of the log. */
    public boolean isSurelyExpired(double logTimeMs, double maxClockSkewMs) {
        return logTimeMs >= expiresAtMs + maxClockSkewMs;
    }

    /**
     * Whether, in addition, no connection is open that the holder opened.
     *
     * @param lingerMs covers the servers' idle timeout and the longest client timeout
     */
    public boolean isSurelyClosed(double logTimeMs, double maxClockSkewMs, double lingerMs) {
        return logTimeMs >= expiresAtMs + maxClockSkewMs + lingerMs;
    }
}
