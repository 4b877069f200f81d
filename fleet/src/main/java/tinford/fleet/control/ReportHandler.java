package tinford.fleet.control;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.PathTemplateMatch;
import io.undertow.util.StatusCodes;
import tinford.fleet.config.ConfigurationCodec;
import tinford.fleet.config.ConfigurationLimits;
import tinford.fleet.config.FollowerReport;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.ValidationError;

/** {@code POST /followers/ID}: a follower reports the revision that is in force there. */
final class ReportHandler implements HttpHandler {
    /** The name of the path parameter with the follower's id. */
    static final String FOLLOWER_PARAMETER = "id";

    private final FollowerReports reports;

    ReportHandler(FollowerReports reports) {
        this.reports = reports;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String follower =
                exchange.getAttachment(PathTemplateMatch.ATTACHMENT_KEY)
                        .getParameters()
                        .get(FOLLOWER_PARAMETER);
        RequestBody.read(
                exchange,
                ConfigurationLimits.MAX_REPORT_BYTES,
                body -> acceptReport(exchange, follower, body));
    }

    private void acceptReport(HttpServerExchange exchange, String follower, byte[] body) {
        FollowerReport report;
        try {
            report = ConfigurationCodec.decodeReport(body);
            if (!report.follower().equals(follower)) {
                throw new InvalidConfigurationException(
                        "follower", "the id in the path, " + follower);
            }
        } catch (InvalidConfigurationException e) {
            JsonResponse.sendError(exchange, StatusCodes.BAD_REQUEST, e.error());
            return;
        }
        if (!reports.report(report)) {
            JsonResponse.sendError(
                    exchange,
                    StatusCodes.SERVICE_UNAVAILABLE,
                    new ValidationError("follower", "fewer followers at this server"));
            return;
        }
        exchange.setStatusCode(StatusCodes.NO_CONTENT);
        exchange.endExchange();
    }
}
