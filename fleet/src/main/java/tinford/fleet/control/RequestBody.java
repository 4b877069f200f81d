package tinford.fleet.control;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import tinford.fleet.config.ValidationError;

/** Reads request bodies of a bounded size without blocking. */
final class RequestBody {
    private RequestBody() {}

    /**
     * Passes the whole body to the consumer, on an I/O thread. A larger body is rejected with 413;
     * a truncated one ends the connection.
     */
    static void read(HttpServerExchange exchange, int maxBytes, Consumer<byte[]> consumer) {
        if (exchange.getRequestContentLength() > maxBytes) {
            rejectTooLarge(exchange, maxBytes);
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(maxBytes);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> consumer.accept(body),
                        (failed, cause) -> rejectTooLarge(failed, maxBytes));
    }

    private static void rejectTooLarge(HttpServerExchange exchange, int maxBytes) {
        if (!exchange.isResponseStarted()) {
            exchange.setPersistent(false);
            JsonResponse.sendError(
                    exchange,
                    StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                    new ValidationError("body", "at most " + maxBytes + " bytes, complete"));
        }
    }
}
