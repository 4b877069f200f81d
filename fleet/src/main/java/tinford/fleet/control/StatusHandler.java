package tinford.fleet.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.Locale;

/** {@code GET /status}: this server's role, revision and load. */
final class StatusHandler implements HttpHandler {
    private final ControlSettings settings;
    private final ControlRole role;
    private final RevisionFeed feed;
    private final WatchHub hub;

    StatusHandler(ControlSettings settings, ControlRole role, RevisionFeed feed, WatchHub hub) {
        this.settings = settings;
        this.role = role;
        this.feed = feed;
        this.hub = hub;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        ObjectNode body =
                JsonResponse.newObject()
                        .put("server", settings.name())
                        .put("fleet", settings.fleet())
                        .put("region", settings.region())
                        .put("role", settings.role().name().toLowerCase(Locale.ROOT))
                        .put("leads", role.isLeader())
                        .put("term", role.term())
                        .put("logRunning", role.isLogRunning())
                        .put("logRestarts", role.logRestarts())
                        .put("revision", feed.current().revision())
                        .put("oldestRetained", feed.oldestRetained())
                        .put("followers", hub.size())
                        .put("pendingBytes", hub.pendingBytes())
                        .put("cachedBytes", feed.cachedBytes());
        JsonResponse.send(exchange, StatusCodes.OK, body);
    }
}
