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
public final class Door {
    private final Loop loop;
    private final SharedPort port;

    /**
     * @param shared another process may listen at the same address
     * @param most connections that may be open through it at once; more wait in the backlog until
     *     one has ended
     */
    public Door(
            Loop loop,
            InetSocketAddress at,
            boolean shared,
            int most,
            Supplier<? extends Link> links)
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
                                    loop.due(() -> take(loop, taken, links));
                                }
                            } catch (IOException e) {
                                // closed meanwhile: nothing more comes in
                            }
                        });
        port.resumeAccepts();
    }

    private static void take(Loop loop, StreamConnection c, Supplier<? extends Link> links) {
        Link link = links.get();
        if (link != null && loop.descriptors.take(link.party())) {
            link.holdsDescriptor();
            link.adopt(c);
        } else {
            IoUtils.safeClose(c);
            if (link != null) {
                link.end(Ending.NO_ROOM);
            }
        }
    }

    /**
     * Nobody new comes in; those whom the machine has let in by now are taken before {@code then},
     * which is a turn's.
     */
    public void close(Loop.Due then) {
        port.close(() -> loop.enter(() -> loop.due(then)));
    }
}
