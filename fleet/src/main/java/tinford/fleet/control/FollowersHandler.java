package tinford.fleet.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Set;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.FollowerTable;

/** {@code GET /followers}: the revision of each follower, as reported to this server. */
final class FollowersHandler implements HttpHandler {
    private final RevisionFeed feed;
    private final WatchHub hub;
    private final FollowerReports reports;

    FollowersHandler(RevisionFeed feed, WatchHub hub, FollowerReports reports) {
        this.feed = feed;
        this.hub = hub;
        this.reports = reports;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        double nowMs = FollowerReports.nowMs();
        Set<String> connected = hub.followers();
        ObjectNode body = JsonResponse.newObject().put("revision", feed.current().revision());
        ArrayNode followers = body.putArray("followers");
        for (FollowerTable.Entry entry : reports.entries()) {
            FollowerReport report = entry.report();
            followers
                    .addObject()
                    .put("follower", report.follower())
                    .put("region", report.region())
                    .put("revision", report.revision())
                    .put("refusal", report.rejectionReason())
                    .put("ageMs", Math.max(0, Math.round(nowMs - entry.reportedAtMs())))
                    .put("connected", connected.contains(report.follower()));
        }
        JsonResponse.send(exchange, StatusCodes.OK, body);
    }
}
