package tinford.decision;

/** Receives the quota decision of each request. */
interface QuotaDecisionHandler {
    /** The quota admits the request. */
    void admit(Batch batch, PendingRequest pending);

    /**
     * The request is over its quota.
     *
     * @param waitMs expected time in ms until the request fits the quota
     */
    void reject(Batch batch, PendingRequest pending, double waitMs);
}
