package tinford.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.OptionMap;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** A UDP socket on the I/O thread. Datagrams that can't be read or sent immediately are lost. */
public final class UdpSocket {
    private static final int MAX_DATAGRAMS_PER_WAKEUP = 64;

    /** Handles one datagram, within a batch. */
    public interface DatagramHandler {
        void handle(InetSocketAddress sender, byte[] bytes);
    }

    private final EventLoop loop;
    private final int maxBytes;
    private final DatagramHandler handler;
    private final MulticastMessageChannel channel;
    private final ByteBuffer buffer;
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();

    /**
     * @param maxBytes the maximum size of a datagram; larger ones are dropped
     */
    public UdpSocket(
            EventLoop loop, InetSocketAddress address, int maxBytes, DatagramHandler handler)
            throws IOException {
        this.loop = loop;
        this.maxBytes = maxBytes;
        this.handler = handler;
        buffer = ByteBuffer.allocate(maxBytes + 1);
        channel = loop.worker.createUdpServer(address, OptionMap.EMPTY);
        channel.getReadSetter().set(ready -> receiveAll());
        channel.resumeReads();
    }

    private void receiveAll() {
        try {
            for (int i = 0; i < MAX_DATAGRAMS_PER_WAKEUP; i++) {
                if (!receive()) {
                    return;
                }
            }
        } catch (IOException e) {
            // the datagram is lost, which the protocol on top of UDP tolerates
        }
    }

    /** Receives one datagram; returns false if there is none. */
    private boolean receive() throws IOException {
        buffer.clear();
        int length = channel.receiveFrom(addresses, buffer);
        if (length < 0) {
            channel.suspendReads();
        }
        if (length <= 0) {
            return false;
        }
        InetSocketAddress sender = addresses.getSourceAddress(InetSocketAddress.class);
        if (length <= maxBytes) {
            byte[] bytes = Arrays.copyOf(buffer.array(), length);
            loop.submit(() -> handler.handle(sender, bytes));
        }
        return true;
    }

    /** Sends the datagram immediately, or drops it. */
    public void send(InetSocketAddress receiver, byte[] bytes) {
        try {
            channel.sendTo(receiver, ByteBuffer.wrap(bytes));
        } catch (IOException e) {
            // the datagram is lost, which the protocol on top of UDP tolerates
        }
    }
}
