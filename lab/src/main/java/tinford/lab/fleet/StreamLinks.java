package tinford.lab.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Predicate;

/**
 * Links of streams that a caller names: each leads to one port on loopback through a port of its
 * own, counts what passes and can be cut.
 */
public final class StreamLinks implements AutoCloseable {
    private static final Impairment CUT = Impairment.cut(false);
    private final LinkLoop loop = new LinkLoop();
    private final Random draw;
    private final Map<String, StreamLink> links = new LinkedHashMap<>();
    private final Map<String, TrafficMeter> meters = new LinkedHashMap<>();

    public StreamLinks(long seed) throws IOException {
        draw = new Random(seed);
    }

    /**
     * @return the port through which the target's port is reached
     */
    public synchronized int open(String name, int targetPort) throws IOException {
        if (links.containsKey(name)) {
            throw new IllegalArgumentException("link " + name + " is open already");
        }
        TrafficMeter meter = new TrafficMeter(loop::now);
        StreamLink link =
                new StreamLink(
                        loop,
                        draw,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
                        port -> {},
                        meter::closed,
                        meter);
        links.put(name, link);
        meters.put(name, meter);
        return link.port();
    }

    /** Cuts links, or heals them. While a link is cut, its bytes wait and new connections hang. */
    public synchronized void cut(Predicate<String> names, boolean on) throws IOException {
        for (Map.Entry<String, StreamLink> link : links.entrySet()) {
            if (names.test(link.getKey())) {
                loop.call(() -> link.getValue().impair(CUT, on, true, true));
            }
        }
    }

    /** Counts from zero from now on. */
    public synchronized void resetMeters() throws IOException {
        loop.call(() -> meters.values().forEach(TrafficMeter::reset));
    }

    /** What passed since the meters were reset, by link. */
    public synchronized Map<String, TrafficMeter.Reading> readings() {
        Map<String, TrafficMeter.Reading> all = new LinkedHashMap<>();
        try {
            loop.call(() -> meters.forEach((name, meter) -> all.put(name, meter.reading())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return all;
    }

    @Override
    public void close() {
        loop.close();
    }
}
