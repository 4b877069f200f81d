package tinford.fleet.control;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.ValidationError;
import tinford.fleet.control.ControlSettings.WatchTiming;

/** {@code GET /configuration}: one line, or a watch that goes on. */
final class WatchHandler implements HttpHandler {
    private final String fleet;
    private final RevisionFeed feed;
    private final WatchHub hub;
    private final WatchTiming timing;

    WatchHandler(String fleet, RevisionFeed feed, WatchHub hub, WatchTiming timing) {
        this.fleet = fleet;
        this.feed = feed;
        this.hub = hub;
        this.timing = timing;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        WatchRequest request;
        try {
            request = QueryParameters.watchRequest(exchange, fleet);
        } catch (InvalidConfigurationException e) {
            JsonResponse.sendError(exchange, StatusCodes.BAD_REQUEST, e.error());
            return;
        }
        WatchResponseStream stream =
                new WatchResponseStream(request, exchange, feed, timing, hub::remove);
        if (request.watch() && !hub.add(stream)) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            JsonResponse.sendError(
                    exchange,
                    StatusCodes.SERVICE_UNAVAILABLE,
                    new ValidationError(
                            "follower", "fewer followers at this server, try another one"));
            return;
        }
        warnIfAhead(request);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        exchange.dispatch(exchange.getIoThread(), stream::start);
    }

    private void warnIfAhead(WatchRequest request) {
        long own = feed.current().revision();
        if (request.afterRevision() > own) {
            ControlLog.followerAhead(request.follower(), request.afterRevision(), own);
        }
    }
}
