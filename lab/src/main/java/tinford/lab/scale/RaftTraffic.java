package tinford.lab.scale;

import java.util.function.Predicate;
import org.apache.ratis.metrics.MetricRegistries;
import org.apache.ratis.metrics.RatisMetricRegistry;

/**
 * How many requests the log appenders of all members in this process have sent, as the library
 * counts them. Each is answered by one reply.
 *
 * @param appends requests that carried entries, or told how far the log is committed
 * @param heartbeats requests that only kept the leader's term alive
 */
record RaftTraffic(long appends, long heartbeats) {
    private static final String COMPONENT = "log_appender";
    private static final String REQUESTS = "num_requests";
    private static final String HEARTBEATS = REQUESTS + "_heartbeat";

    /** The counts since the start of the process. */
    static RaftTraffic now() {
        return new RaftTraffic(sum(REQUESTS), sum(HEARTBEATS));
    }

    /** What was sent since the earlier counts. */
    RaftTraffic since(RaftTraffic earlier) {
        return new RaftTraffic(appends - earlier.appends, heartbeats - earlier.heartbeats);
    }

    private static long sum(String counter) {
        Predicate<RatisMetricRegistry> ofAppender =
                registry ->
                        registry.getMetricRegistryInfo()
                                .getMetricsComponentName()
                                .equals(COMPONENT);
        return MetricRegistries.global().getMetricRegistries().stream()
                .filter(ofAppender)
                .mapToLong(registry -> registry.counter(counter).getCount())
                .sum();
    }
}
