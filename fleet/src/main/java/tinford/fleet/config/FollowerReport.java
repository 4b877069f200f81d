package tinford.fleet.config;

/**
 * A follower's report to its control server.
 *
 * @param follower its id
 * @param region the region it runs in
 * @param revision the revision in force there
 * @param rejectionReason why the last revision that it was offered is not in force; null where it
 *     is
 */
public record FollowerReport(
        String follower, String region, long revision, String rejectionReason) {}
