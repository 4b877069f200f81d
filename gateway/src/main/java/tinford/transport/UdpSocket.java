package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.OptionMap;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** One UDP socket: datagrams in and out, none kept. */
public final class UdpSocket {
    private static final int MOST_A_WAKE_UP = 64;

    /** Takes a datagram, within a turn. */
    public interface Taker {
        void take(InetSocketAddress from, byte[] bytes);
    }

    private final MulticastMessageChannel channel;
    private final ByteBuffer buffer;
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();

    /**
     * @param most bytes of one; longer ones are dropped
     */
    public UdpSocket(EventLoop loop, InetSocketAddress at, int most, Taker taker)
            throws IOException {
        buffer = ByteBuffer.allocate(most + 1);
        channel = loop.worker.createUdpServer(at, OptionMap.EMPTY);
        channel.getReadSetter().set(ch -> receive(loop, most, taker));
        channel.resumeReads();
    }

    private void receive(EventLoop loop, int most, Taker taker) {
        try {
            for (int i = 0; i < MOST_A_WAKE_UP; i++) {
                buffer.clear();
                int n = channel.receiveFrom(addresses, buffer);
                if (n < 0) {
                    channel.suspendReads();
                }
                if (n <= 0) {
                    return;
                }
                InetSocketAddress from = addresses.getSourceAddress(InetSocketAddress.class);
                if (n <= most) {
                    byte[] bytes = Arrays.copyOf(buffer.array(), n);
                    loop.submit(() -> taker.take(from, bytes));
                }
            }
        } catch (IOException e) {
            // one datagram less: they may be lost in any case
        }
    }

    /** Sent now, or lost. */
    public void send(InetSocketAddress to, byte[] bytes) {
        try {
            channel.sendTo(to, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // lost, as any of them may be
        }
    }
}
