package tinford.decision;

import java.util.List;

/**
 * Finds servers that fail more than the others. Failures are compared with the fleet's median: when
 * all servers are slow, none of them is at fault.
 */
final class OutlierDetector {
    private static final double MIN_FAILURES = 2;
    private static final double MIN_ANSWERS = 4;

    /** By how much a server's share of failures has to exceed the median. */
    private static final double MARGIN = 0.3;

    private double medianFailureShare;

    boolean isOutlier(ServerStats server, double nowMs) {
        return server.failures.total(nowMs) >= MIN_FAILURES
                && failureShare(server, server.answers.total(nowMs), nowMs)
                        > medianFailureShare + MARGIN;
    }

    /** Expects the servers' totals to be up to date. */
    void updateMedian(List<ServerStats> servers, double nowMs) {
        double[] shares =
                servers.stream()
                        .mapToDouble(server -> failureShare(server, server.recentAnswers, nowMs))
                        .sorted()
                        .toArray();
        medianFailureShare = shares.length == 0 ? 0 : shares[(shares.length - 1) / 2];
    }

    private static double failureShare(ServerStats server, double answers, double nowMs) {
        return server.failures.total(nowMs)
                / Math.max(MIN_ANSWERS, answers + server.running.size());
    }
}
