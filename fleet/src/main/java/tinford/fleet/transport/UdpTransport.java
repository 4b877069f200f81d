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
 * Sends each message as a UDP datagram. A dedicated thread receives datagrams and identifies their
 * sender by its address; those from an address that belongs to no peer are dropped and counted.
 * Messages are buffered only by the socket, whose buffers are {@link #SOCKET_BUFFER_BYTES} long
 * (the operating system may double them).
 */
public final class UdpTransport implements Transport {
    private static final int SOCKET_BUFFER_BYTES = 256 * 1024;

    /** How long {@link #close} waits for the receiver to return from its current call. */
    private static final long CLOSE_TIMEOUT_MS = 1000;

    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> numberByAddress;
    private final int ownNumber;
    private final int maxMessageBytes;
    private final Receiver receiver;
    private final Selector selector;
    private final DatagramChannel channel;

    /** Held during calls of the receiver, so that none is made after {@link #close} returns. */
    private final ReentrantLock deliveryLock = new ReentrantLock();

    private final LongAdder unknownSenders = new LongAdder();
    private final LongAdder oversizedMessages = new LongAdder();
    private final LongAdder receiverFailures = new LongAdder();
    private volatile boolean closed;

    /**
     * Opens the socket and starts the receiving thread.
     *
     * @param ownNumber the number of this gateway
     * @param listen the address to bind
     * @param peers the addresses of the gateways by number; that of this gateway is ignored and may
     *     be null
     * @throws IllegalArgumentException if a peer's address is not resolved or has no port, or if
     *     two peers have the same address
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
                    "peers[" + number + "]: expected a resolved address with a port, not " + peer);
        }
        if (numbers.put(peer, number) != null) {
            throw new IllegalArgumentException(
                    "peers["
                            + number
                            + "]: expected an address of no other peer, not "
                            + peer
                            + ", which occurs twice");
        }
    }

    /** Opens the channel; if that fails, closes the selector too. */
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
            // for an empty message the result 0 does not tell whether it was sent
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
                // an ICMP error reported for an earlier datagram; no received message is lost
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

    /** Number of datagrams dropped because their sender is not a peer. */
    public long unknownSenders() {
        return unknownSenders.sum();
    }

    /** Number of datagrams dropped because they were too long. */
    public long oversizedMessages() {
        return oversizedMessages.sum();
    }

    /** Number of times the receiver threw an exception. */
    public long receiverFailures() {
        return receiverFailures.sum();
    }

    /**
     * Closes the socket and waits, up to a timeout, until the receiver has returned from its
     * current call. The receiver is not called afterwards.
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
