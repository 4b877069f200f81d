package tinford.fleet.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Hashes of single records; they are the same in every process. The hash of a configuration is the
 * sum of the hashes of its records, so that a change requires hashing only the records it touches.
 */
final class ContentHash {
    private static final char SEPARATOR = '\n';

    private ContentHash() {}

    static long of(ServiceRecord service) {
        return hash("service", service.name());
    }

    static long of(RouteRecord route) {
        return hash(
                "route",
                route.name(),
                route.service(),
                route.latencyObjectiveMs(),
                route.timeoutMs(),
                route.priorityWeight(),
                route.lateWeight(),
                route.idempotency(),
                route.deduplicationScope(),
                route.deduplicationWindowMs(),
                route.streamed());
    }

    static long of(PlanRecord plan) {
        return hash(
                "plan",
                plan.name(),
                plan.quotaPerSecond(),
                plan.burst(),
                plan.maxOpenRequests(),
                plan.priorityWeight(),
                plan.overQuotaWeight(),
                plan.overQuotaCost(),
                plan.hardLimitPerSecond(),
                plan.hardLimitBurst(),
                plan.hardLimitSlack());
    }

    static long of(TenantRecord tenant) {
        return hash("tenant", tenant.id(), tenant.plan());
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, but every JDK provides it", e);
        }
    }

    private static long hash(Object... fields) {
        StringBuilder text = new StringBuilder();
        for (Object field : fields) {
            text.append(field).append(SEPARATOR);
        }
        byte[] digest = sha256().digest(text.toString().getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(digest).getLong();
    }
}
