package tinford.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.Random;

/**
 * Datagrams between two gateways: an address of its own towards each. What one sends to its address
 * reaches the other as from the address that the other sends to. At most 10,000 are under way, more
 * are lost.
 */
final class DatagramLink {
    private static final int MOST = 10_000;
    private static final double LATE = 5; // ms that a reordered one waits at least
    private final LinkLoop loop;
    private final End left;
    private final End right;
    private int underWay;

    /** The address towards one side. */
    private final class End {
        final DatagramChannel channel =
                DatagramChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        final SocketAddress gateway;
        final LinkDirection from;
        End other;

        End(SocketAddress gateway, Random draw) throws IOException {
            this.gateway = gateway;
            this.from = new LinkDirection(draw);
        }

        void ready() throws IOException {
            ByteBuffer b = ByteBuffer.allocate(65_536);
            for (SocketAddress who = channel.receive(b); who != null; who = channel.receive(b)) {
                if (who.equals(gateway)) { // guards against strangers: links forge no sender
                    b.flip();
                    byte[] bytes = new byte[b.remaining()];
                    b.get(bytes);
                    pass(bytes);
                }
                b.clear();
            }
        }

        void pass(byte[] bytes) {
            Impairment i = from.now();
            if (i.cut() || from.happens(i.loss())) {
                return;
            }
            for (int copies = from.happens(i.doubled()) ? 2 : 1;
                    copies > 0 && underWay < MOST;
                    copies--) {
                double at = from.through(loop.now(), bytes.length);
                if (from.happens(i.reordered())) {
                    at += LATE + i.delay() + i.jitter();
                }
                underWay++;
                if (at <= loop.now()) {
                    leave(bytes);
                } else {
                    loop.at(at, () -> leave(bytes));
                }
            }
        }

        private void leave(byte[] bytes) {
            underWay--;
            if (from.now().cut()) {
                return;
            }
            try {
                other.channel.send(ByteBuffer.wrap(bytes), other.gateway);
            } catch (IOException e) {
                // nobody there: lost
            }
        }
    }

    DatagramLink(LinkLoop loop, Random draw, InetSocketAddress left, InetSocketAddress right)
            throws IOException {
        this.loop = loop;
        this.left = new End(left, draw);
        this.right = new End(right, draw);
        this.left.other = this.right;
        this.right.other = this.left;
        loop.call(
                () -> {
                    loop.register(this.left.channel, SelectionKey.OP_READ, k -> this.left.ready());
                    loop.register(
                            this.right.channel, SelectionKey.OP_READ, k -> this.right.ready());
                });
    }

    private static InetSocketAddress address(End e) throws IOException {
        return (InetSocketAddress) e.channel.getLocalAddress();
    }

    /** Where the left one sends to. */
    InetSocketAddress forLeft() throws IOException {
        return address(left);
    }

    InetSocketAddress forRight() throws IOException {
        return address(right);
    }

    /** The way on which what the left one (or else the right one) sends goes. */
    LinkDirection from(boolean leftOne) {
        return leftOne ? left.from : right.from;
    }

    /** As if the left one (or the right one) had sent it here. Loop's thread only. */
    void pass(boolean leftOne, byte[] bytes) {
        (leftOne ? left : right).pass(bytes);
    }
}
