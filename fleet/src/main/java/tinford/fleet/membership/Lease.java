package tinford.fleet.membership;

/**
 * A lease: the right of one incarnation to use what it was granted, until the lease expires. The
 * clocks of two machines differ by a bounded skew; only this class compares times of two machines.
 *
 * @param expiresAtMs expiry by the holder's own clock: the time of its request plus the length of
 *     the lease
 * @param fencingToken index of the log entry that granted the lease; a later grant has a higher one
 */
public record Lease(Incarnation holder, double expiresAtMs, long fencingToken) {
    /**
     * Whether the holder may still use the lease. The holder checks this before each use.
     *
     * @param ownNowMs current time by the holder's clock
     */
    public boolean isHeldAt(double ownNowMs) {
        return ownNowMs < expiresAtMs;
    }

    /**
     * Whether the lease has expired by the holder's clock too, whatever the clock skew.
     *
     * @param logTimeMs current time of the log
     */
    public boolean isDefinitelyExpired(double logTimeMs, double maxClockSkewMs) {
        return logTimeMs >= expiresAtMs + maxClockSkewMs;
    }

    /**
     * Whether, in addition, all connections that the holder opened are certain to be closed.
     *
     * @param lingerMs how long a connection can outlast its owner; covers the servers' idle timeout
     *     and the longest client timeout
     */
    public boolean areConnectionsClosed(double logTimeMs, double maxClockSkewMs, double lingerMs) {
        return logTimeMs >= expiresAtMs + maxClockSkewMs + lingerMs;
    }
}
