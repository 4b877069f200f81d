package tinford.fleet.control;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import java.util.function.Consumer;
import tinford.fleet.config.ValidationError;

/** Reads request bodies of a bounded size without waiting. */
final class RequestBody {
    private RequestBody() {}

    /**
     * Passes the whole body on, on an I/O thread; a larger one is answered with 413, one that is
     * cut ends the connection.
     */
    static void read(HttpServerExchange exchange, int limit, Consumer<byte[]> then) {
        if (exchange.getRequestContentLength() > limit) {
            refuse(exchange, limit);
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(limit);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> then.accept(body),
                        (failed, cause) -> refuse(failed, limit));
    }

    private static void refuse(HttpServerExchange exchange, int limit) {
        if (!exchange.isResponseStarted()) {
            exchange.setPersistent(false);
            JsonResponse.sendFault(
                    exchange,
                    StatusCodes.REQUEST_ENTITY_TOO_LARGE,
                    new ValidationError("body", "at most " + limit + " bytes, complete"));
        }
    }
}
