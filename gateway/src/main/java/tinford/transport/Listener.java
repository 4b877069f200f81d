package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.nio.SharedPort;

/**
 * A listening address; each connection that comes in is taken over by a link, or closed where there
 * is none.
 */
public final class Listener {
    private final EventLoop loop;
    private final SharedPort port;

    /**
     * @param shared another process may listen at the same address
     * @param most connections that may be open through it at once; more wait in the backlog until
     *     one has ended
     */
    public Listener(
            EventLoop loop,
            InetSocketAddress at,
            boolean shared,
            int most,
            Supplier<? extends Connection> links)
            throws IOException {
        this.loop = loop;
        // the low water is compared with the count before an end: one lower, and a full door would
        // stay shut behind a single one
        port =
                SharedPort.open(
                        loop.worker,
                        at,
                        shared,
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.BACKLOG, 512)
                                .set(Options.CONNECTION_HIGH_WATER, most)
                                .set(Options.CONNECTION_LOW_WATER, most)
                                .getMap(),
                        ch -> {
                            try {
                                for (StreamConnection c = ch.accept(); c != null; c = ch.accept()) {
                                    StreamConnection taken = c;
                                    loop.submit(() -> take(loop, taken, links));
                                }
                            } catch (IOException e) {
                                // closed meanwhile: nothing more comes in
                            }
                        });
        port.resumeAccepts();
    }

    private static void take(
            EventLoop loop, StreamConnection c, Supplier<? extends Connection> links) {
        Connection link = links.get();
        if (link != null && loop.descriptorBudget.take(link.party())) {
            link.holdsDescriptor();
            link.adopt(c);
        } else {
            IoUtils.safeClose(c);
            if (link != null) {
                link.close(CloseReason.NO_ROOM);
            }
        }
    }

    /**
     * Nobody new comes in; those whom the machine has let in by now are taken before {@code then},
     * which is a turn's.
     */
    public void close(EventLoop.Task then) {
        port.close(() -> loop.execute(() -> loop.submit(then)));
    }
}
