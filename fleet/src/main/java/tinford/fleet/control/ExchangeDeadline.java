package tinford.fleet.control;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/** Closes the connection of an exchange that is not complete within a timeout. */
final class ExchangeDeadline implements HttpHandler {
    private final long timeoutMs;
    private final HttpHandler next;

    ExchangeDeadline(long timeoutMs, HttpHandler next) {
        this.timeoutMs = timeoutMs;
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        XnioExecutor.Key timer =
                exchange.getIoThread()
                        .executeAfter(
                                () -> IoUtils.safeClose(exchange.getConnection()),
                                timeoutMs,
                                TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener(
                (completed, following) -> {
                    timer.remove();
                    following.proceed();
                });
        next.handleRequest(exchange);
    }
}
