package tinford.fleet.control;

import io.undertow.server.HttpServerExchange;
import java.util.Deque;
import tinford.fleet.config.InvalidConfigurationException;
import tinford.fleet.config.RecordChecks;

/** Reads the query of a request for a watch. */
final class QueryParameters {
    private QueryParameters() {}

    static WatchRequest watchRequest(HttpServerExchange exchange, String ownFleet)
            throws InvalidConfigurationException {
        if (!text(exchange, "fleet", "").equals(ownFleet)) {
            throw new InvalidConfigurationException("fleet", ownFleet);
        }
        boolean watch = watch(exchange);
        String follower = text(exchange, "follower", "");
        if (watch) {
            checkName("follower", follower);
        }
        return new WatchRequest(watch, revision(exchange), follower);
    }

    private static boolean watch(HttpServerExchange exchange) throws InvalidConfigurationException {
        return switch (text(exchange, "watch", "0")) {
            case "0" -> false;
            case "1" -> true;
            default -> throw new InvalidConfigurationException("watch", "0 or 1");
        };
    }

    private static long revision(HttpServerExchange exchange) throws InvalidConfigurationException {
        try {
            long revision = Long.parseLong(text(exchange, "after", "0"));
            if (revision >= 0) {
                return revision;
            }
        } catch (NumberFormatException e) {
            // rejected below, like a negative number
        }
        throw new InvalidConfigurationException("after", "a revision, a whole number from 0");
    }

    private static void checkName(String key, String text) throws InvalidConfigurationException {
        if (!RecordChecks.isName(text)) {
            throw new InvalidConfigurationException(key, RecordChecks.EXPECTED_NAME);
        }
    }

    private static String text(HttpServerExchange exchange, String key, String defaultValue)
            throws InvalidConfigurationException {
        Deque<String> values = exchange.getQueryParameters().get(key);
        if (values == null) {
            return defaultValue;
        }
        if (values.size() > 1) {
            throw new InvalidConfigurationException(key, "one value");
        }
        return values.getFirst();
    }
}
