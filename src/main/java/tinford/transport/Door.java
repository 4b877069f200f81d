package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** A listening address; each connection that comes in is taken over by a link, or closed where there is none. */
public final class Door {
    private final AcceptingChannel<StreamConnection> channel;

    /** @param most connections that may be open through it at once; more wait in the backlog until one has ended */
    public Door(Loop loop, InetSocketAddress at, int most, Supplier<? extends Link> links) throws IOException {
        channel = loop.worker.createStreamConnectionServer(at, ch -> {
            try {
                for (StreamConnection c = ch.accept(); c != null; c = ch.accept()) {
                    StreamConnection taken = c;
                    loop.due(() -> take(loop, taken, links));
                }
            } catch (IOException e) {
                // closed meanwhile: nothing more comes in
            }
        }, OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.BACKLOG, 512)
                .set(Options.CONNECTION_HIGH_WATER, most).set(Options.CONNECTION_LOW_WATER, most - 1).getMap());
        channel.resumeAccepts();
    }

    private static void take(Loop loop, StreamConnection c, Supplier<? extends Link> links) {
        Link link = links.get();
        if (link != null && loop.takeDescriptor()) {
            link.holdsDescriptor();
            link.adopt(c);
        } else {
            IoUtils.safeClose(c);
            if (link != null) {
                link.end(Ending.NO_ROOM);
            }
        }
    }

    public void close() {
        IoUtils.safeClose(channel);
    }
}
