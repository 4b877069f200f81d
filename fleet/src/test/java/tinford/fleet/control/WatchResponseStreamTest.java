package tinford.fleet.control;

import static org.testng.Assert.assertEquals;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.Test;
import tinford.fleet.config.Change;
import tinford.fleet.config.Configuration;
import tinford.fleet.config.ServiceRecord;
import tinford.fleet.config.Update;
import tinford.fleet.config.WatchMessage;

/** A watch that is woken between its creation and its start. */
public class WatchResponseStreamTest {
    private final RevisionFeed feed = new RevisionFeed(ControlServerFixtures.FLEET, Runnable::run);

    private void wakeThenStart(HttpServerExchange exchange) {
        WatchRequest request = new WatchRequest(true, 0, "gw-1");
        WatchResponseStream stream =
                new WatchResponseStream(
                        request, exchange, feed, ControlServerFixtures.FAST, closed -> {});
        stream.wake();
        exchange.dispatch(exchange.getIoThread(), stream::start);
    }

    @Test
    public void wakeBeforeTheStartLosesNoLine() throws Exception {
        List<Change> changes = List.of(new Change.PutService(new ServiceRecord("search")));
        feed.append(Configuration.EMPTY.with(1, changes), new Update(0, 1, changes));
        Undertow http =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(this::wakeThenStart)
                        .build();
        http.start();
        InetSocketAddress address = (InetSocketAddress) http.getListenerInfo().get(0).getAddress();
        try (WatchConnection watch = new WatchConnection(address, "")) {
            watch.head();
            assertEquals(watch.line(), "");
            WatchMessage.UpdateMessage message = (WatchMessage.UpdateMessage) watch.message();
            assertEquals(message.update().revision(), 1);
        } finally {
            http.stop();
        }
    }
}
