package tinford.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Detects servers that fail more often than the others. Failure rates are compared with the median
 * of all servers, so that no server is an outlier while all of them are slow.
 */
final class OutlierDetector {
    private static final double MIN_FAILURES = 2;
    private static final double MIN_RESPONSES = 4;

    /** Difference by which the failure share of an outlier exceeds the median. */
    private static final double FAILURE_SHARE_MARGIN = 0.3;

    private double medianFailureShare;

    /** Returns whether the server is an outlier by its current totals and the last median. */
    boolean isOutlier(ServerStats server, double nowMs) {
        double responses = server.responses.total(nowMs);
        return server.failures.total(nowMs) >= MIN_FAILURES
                && failureShare(server, responses, nowMs)
                        > medianFailureShare + FAILURE_SHARE_MARGIN;
    }

    /** Updates the median and all outlier flags; the servers' totals have to be up to date. */
    void update(List<ServerStats> servers, double nowMs) {
        double[] shares = new double[servers.size()];
        for (int i = 0; i < shares.length; i++) {
            ServerStats server = servers.get(i);
            shares[i] = failureShare(server, server.recentResponses, nowMs);
        }
        medianFailureShare = median(shares);
        double maxShare = medianFailureShare + FAILURE_SHARE_MARGIN;
        for (int i = 0; i < shares.length; i++) {
            ServerStats server = servers.get(i);
            server.outlier = shares[i] > maxShare && server.failures.total(nowMs) >= MIN_FAILURES;
        }
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    private static double failureShare(ServerStats server, double responses, double nowMs) {
        return server.failures.total(nowMs)
                / Math.max(MIN_RESPONSES, responses + server.running.size());
    }
}
