package tinford.api;

/** What the operators allow a gateway. */
public final class Limits {
    public final int maxDispatches;
    public final boolean mayDuplicate;
    public final boolean cancel;
    public final boolean peers;
    public final boolean probes;
    public final double maxRetryAfter;

    public Limits(
            int maxDispatches,
            boolean mayDuplicate,
            boolean cancel,
            boolean peers,
            boolean probes,
            double maxRetryAfter) {
        this.maxDispatches = maxDispatches;
        this.mayDuplicate = mayDuplicate;
        this.cancel = cancel;
        this.peers = peers;
        this.probes = probes;
        this.maxRetryAfter = maxRetryAfter;
    }
}
