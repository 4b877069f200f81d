package tinford.fleet.config;

/**
 * A follower's report to its control server.
 *
 * @param follower id of the follower
 * @param region region of the follower
 * @param revision the active revision of the follower
 * @param rejectionReason why the last revision was rejected, or the error in a message of a control
 *     server; null if there is neither
 */
public record FollowerReport(
        String follower, String region, long revision, String rejectionReason) {}
