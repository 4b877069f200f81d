package tinford.fleet.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Messages as UDP datagrams. A thread of its own receives datagrams from the addresses of the
 * peers, as from the peer that has the address; all others are dropped and counted. Nothing is
 * buffered outside the socket's own buffers of {@link #SOCKET_BUFFER_BYTES} (the system may double
 * them).
 */
public final class UdpTransport implements Transport {
    private static final int SOCKET_BUFFER_BYTES = 256 * 1024;

    /** How long {@link #close} waits for a receiver that is being called. */
    private static final long CLOSE_TIMEOUT_MS = 1000;

    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> numberByAddress;
    private final int ownNumber;
    private final int maxMessageBytes;
    private final Receiver receiver;
    private final Selector selector;
    private final DatagramChannel channel;

    /** Held while the receiver is called, so that it is not called after {@link #close}. */
    private final ReentrantLock deliveryLock = new ReentrantLock();

    private final LongAdder unknownSenders = new LongAdder();
    private final LongAdder oversizedMessages = new LongAdder();
    private final LongAdder receiverFailures = new LongAdder();
    private volatile boolean closed;

    /**
     * Opens the socket and starts the thread.
     *
     * @param peers the addresses of the gateways by number; the own one is ignored and may be null
     * @throws IllegalArgumentException for a peer without a resolved address and port, or an
     *     address of two peers
     * @throws IOException if the address can't be bound
     */
    public UdpTransport(
            int ownNumber,
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            int maxMessageBytes,
            Receiver receiver)
            throws IOException {
        this.ownNumber = ownNumber;
        this.peers = Collections.unmodifiableList(new ArrayList<>(peers));
        this.maxMessageBytes = maxMessageBytes;
        this.receiver = receiver;
        numberByAddress = numberByAddress(peers, ownNumber);
        selector = Selector.open();
        channel = openChannel(listen, selector);
        Thread thread = new Thread(this::receiveLoop, "fleet-transport-" + ownNumber);
        thread.setDaemon(true);
        thread.start();
    }

    private static Map<SocketAddress, Integer> numberByAddress(
            List<InetSocketAddress> peers, int ownNumber) {
        Map<SocketAddress, Integer> numbers = new HashMap<>();
        for (int number = 0; number < peers.size(); number++) {
            if (number != ownNumber) {
                addPeer(numbers, number, peers.get(number));
            }
        }
        return numbers;
    }

    private static void addPeer(
            Map<SocketAddress, Integer> numbers, int number, InetSocketAddress peer) {
        if (peer == null || peer.isUnresolved() || peer.getPort() == 0) {
            throw new IllegalArgumentException(
                    "peers, " + number + ": expected an address that resolves, with port: " + peer);
        }
        if (numbers.put(peer, number) != null) {
            throw new IllegalArgumentException(
                    "peers, "
                            + number
                            + ": expected an address of its own, found "
                            + peer
                            + " twice");
        }
    }

    /** Closes the selector too if the channel can't be opened. */
    private static DatagramChannel openChannel(InetSocketAddress listen, Selector selector)
            throws IOException {
        DatagramChannel channel = null;
        try {
            channel = DatagramChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
            channel.bind(listen).configureBlocking(false);
            channel.register(selector, SelectionKey.OP_READ);
            return channel;
        } catch (IOException | RuntimeException e) {
            selector.close();
            if (channel != null) {
                channel.close();
            }
            throw e;
        }
    }

    @Override
    public int maxMessageBytes() {
        return maxMessageBytes;
    }

    @Override
    public boolean send(int to, byte[] message) {
        if (closed
                || to < 0
                || to >= peers.size()
                || to == ownNumber
                || message.length > maxMessageBytes) {
            return false;
        }
        try {
            // for an empty message, 0 bytes mean either that it was sent or that it was not
            return channel.send(ByteBuffer.wrap(message), peers.get(to)) == message.length;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private void receiveLoop() {
        ByteBuffer buffer = ByteBuffer.allocate(maxMessageBytes + 1);
        while (!closed) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                receiveAll(buffer);
            } catch (IOException e) {
                // an ICMP error for an earlier datagram; no message was lost by it
                if (!channel.isOpen()) {
                    return;
                }
            } catch (ClosedSelectorException e) {
                return;
            }
        }
    }

    private void receiveAll(ByteBuffer buffer) throws IOException {
        while (!closed) {
            SocketAddress sender = channel.receive(buffer.clear());
            if (sender == null) {
                return;
            }
            deliver(sender, buffer.flip());
        }
    }

    private void deliver(SocketAddress sender, ByteBuffer received) {
        Integer number = numberByAddress.get(sender);
        if (number == null) {
            unknownSenders.increment();
            return;
        }
        if (received.remaining() > maxMessageBytes) {
            oversizedMessages.increment();
            return;
        }
        byte[] message = new byte[received.remaining()];
        received.get(message);
        deliveryLock.lock();
        try {
            if (!closed) {
                receiver.receive(number, message);
            }
        } catch (RuntimeException e) {
            receiverFailures.increment();
        } finally {
            deliveryLock.unlock();
        }
    }

    /** Datagrams dropped because their sender is no peer. */
    public long unknownSenders() {
        return unknownSenders.sum();
    }

    /** Datagrams dropped because they were too long. */
    public long oversizedMessages() {
        return oversizedMessages.sum();
    }

    /** How often the receiver threw an exception. */
    public long receiverFailures() {
        return receiverFailures.sum();
    }

    /**
     * Returns when the receiver is not called any more, or after a timeout if it does not return
     * from its current call.
     */
    @Override
    public void close() {
        closed = true;
        boolean locked = false;
        try {
            locked = deliveryLock.tryLock(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            selector.close();
            channel.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            if (locked) {
                deliveryLock.unlock();
            }
        }
    }
}
