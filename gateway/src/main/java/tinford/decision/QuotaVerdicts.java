package tinford.decision;

/** Hears what the quota of a request came to. */
interface QuotaVerdicts {
    /** The request may go to a server. */
    void admit(Batch batch, PendingRequest pending);

    /**
     * The request is over its quota.
     *
     * @param waitMs until its units are expected to fit
     */
    void reject(Batch batch, PendingRequest pending, double waitMs);
}
