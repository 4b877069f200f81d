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

    public Door(Loop loop, InetSocketAddress at, Supplier<? extends Link> links) throws IOException {
        channel = loop.worker.createStreamConnectionServer(at, ch -> {
            try {
                for (StreamConnection c = ch.accept(); c != null; c = ch.accept()) {
                    StreamConnection taken = c;
                    loop.due(() -> take(loop, taken, links));
                }
            } catch (IOException e) {
                // closed meanwhile: nothing more comes in
            }
        }, OptionMap.create(Options.TCP_NODELAY, true, Options.BACKLOG, 512));
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
