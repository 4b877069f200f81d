package tinford.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntConsumer;
import tinford.lab.sockets.FreePort;

/**
 * All links of a fleet: between gateways (datagrams, and streams for a log), to each server and to
 * the counter a gateway.
 */
final class FleetLinks implements AutoCloseable {
    private final LinkLoop loop = new LinkLoop();
    private final Random draw;
    private final int gateways;
    private final DatagramLink[][] pairs;
    private final StreamLink[][] members;
    private final DatagramChannel[] toAll;
    private final List<Map<String, StreamLink>> servers = new ArrayList<>();
    private final StreamLink[] counters;
    private final Map<Integer, Integer> from =
            new ConcurrentHashMap<>(); // gateway, by the port from which its connection comes
    private final IntConsumer comes;
    private final IntConsumer left;
    private final int[] memberPorts;
    private final List<InetSocketAddress> peerListens = new ArrayList<>();

    /**
     * @param comes is told the port from which a connection will come to a server or the counter,
     *     before it does
     * @param left is told the port of one whose gateway has closed it
     */
    FleetLinks(int gateways, long seed, IntConsumer comes, IntConsumer left) throws IOException {
        this.gateways = gateways;
        this.comes = comes;
        this.left = left;
        draw = new Random(seed);
        pairs = new DatagramLink[gateways][gateways];
        members = new StreamLink[gateways][gateways];
        toAll = new DatagramChannel[gateways];
        counters = new StreamLink[gateways];
        memberPorts = new int[gateways];
        for (int i = 0; i < gateways; i++) {
            peerListens.add(here(FreePort.find()));
            memberPorts[i] = FreePort.find();
            servers.add(new LinkedHashMap<>());
        }
        for (int i = 0; i < gateways; i++) {
            for (int j = 0; j < i; j++) {
                pairs[i][j] = new DatagramLink(loop, draw, peerListens.get(i), peerListens.get(j));
                pairs[j][i] = pairs[i][j];
            }
            for (int j = 0; j < gateways; j++) {
                if (i != j) {
                    members[i][j] =
                            new StreamLink(loop, draw, here(memberPorts[j]), p -> {}, p -> {});
                }
            }
            toAll[i] = DatagramChannel.open().bind(here(0));
            int me = i;
            loop.call(() -> loop.register(toAll[me], SelectionKey.OP_READ, k -> all(me)));
        }
    }

    private static InetSocketAddress here(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private static String text(InetSocketAddress a) {
        return "127.0.0.1:" + a.getPort();
    }

    private void all(int me) throws IOException {
        ByteBuffer b = ByteBuffer.allocate(65_536);
        while (toAll[me].receive(b) != null) {
            byte[] bytes = new byte[b.flip().remaining()];
            b.get(bytes);
            b.clear();
            for (int j = 0; j < gateways; j++) {
                if (j != me) {
                    pairs[me][j].pass(me > j, bytes);
                }
            }
        }
    }

    String peerListen(int gateway) {
        return text(peerListens.get(gateway));
    }

    /** By number, where this gateway sends to; its own is where it listens. */
    List<String> peers(int gateway) throws IOException {
        List<String> all = new ArrayList<>();
        for (int j = 0; j < gateways; j++) {
            all.add(
                    j == gateway
                            ? peerListen(j)
                            : text(
                                    gateway > j
                                            ? pairs[gateway][j].forLeft()
                                            : pairs[gateway][j].forRight()));
        }
        return all;
    }

    String peersAll(int gateway) throws IOException {
        return text((InetSocketAddress) toAll[gateway].getLocalAddress());
    }

    String memberListen(int gateway) {
        return text(here(memberPorts[gateway]));
    }

    List<String> members(int gateway) {
        List<String> all = new ArrayList<>();
        for (int j = 0; j < gateways; j++) {
            all.add(j == gateway ? memberListen(j) : text(here(members[gateway][j].port())));
        }
        return all;
    }

    /** The port at which this gateway finds the server; made at the first call. */
    synchronized int server(int gateway, String server, int port) {
        return servers.get(gateway).computeIfAbsent(server, k -> stream(gateway, port)).port();
    }

    int counter(int gateway, int port) {
        counters[gateway] = stream(gateway, port);
        return counters[gateway].port();
    }

    private StreamLink stream(int gateway, int port) {
        try {
            return new StreamLink(
                    loop,
                    draw,
                    here(port),
                    p -> {
                        from.put(p, gateway);
                        comes.accept(p);
                    },
                    left);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Whose connection comes from that port; -1 for nobody's. */
    int from(int port) {
        return from.getOrDefault(port, -1);
    }

    /** A server listens no more, or again. */
    synchronized void shut(String server, boolean on) {
        List<StreamLink> its =
                servers.stream()
                        .map(m -> m.get(server))
                        .filter(java.util.Objects::nonNull)
                        .toList();
        done(() -> its.forEach(l -> l.shut(on)));
    }

    /** Between gateways, from each of the first to each of the others, and back if {@code both}. */
    void between(
            Collection<Integer> some,
            Collection<Integer> others,
            Impairment i,
            boolean on,
            boolean both) {
        done(
                () -> {
                    for (int a : some) {
                        for (int b : others) {
                            if (a != b) {
                                way(a, b, i, on);
                                if (both && !(some.contains(b) && others.contains(a))) {
                                    way(b, a, i, on);
                                }
                            }
                        }
                    }
                });
    }

    private void way(int a, int b, Impairment i, boolean on) {
        LinkDirection w = pairs[a][b].from(a > b);
        if (on) {
            w.add(i);
        } else {
            w.remove(i);
        }
        // what a says to b goes on connections that either has opened
        members[a][b].impair(i, on, true, false);
        members[b][a].impair(i, on, false, true);
    }

    synchronized void servers(
            Collection<Integer> who,
            Collection<String> which,
            Impairment i,
            boolean on,
            boolean both) {
        List<StreamLink> its =
                who.stream()
                        .flatMap(g -> which.stream().map(s -> servers.get(g).get(s)))
                        .filter(java.util.Objects::nonNull)
                        .toList();
        done(() -> its.forEach(l -> l.impair(i, on, true, both)));
    }

    void counter(Collection<Integer> who, Impairment i, boolean on, boolean both) {
        done(() -> who.forEach(g -> counters[g].impair(i, on, true, both)));
    }

    /** What is wrong is wrong when the caller goes on. */
    private void done(LinkLoop.Step what) {
        try {
            loop.call(what);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        loop.close();
    }
}
