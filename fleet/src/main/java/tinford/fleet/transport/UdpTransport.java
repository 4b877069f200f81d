package tinford.fleet.transport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
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
 * Messages as datagrams. One thread of its own takes what comes from the listed addresses, as from
 * the number that has the address; all else is dropped and counted. Nothing is kept outside the
 * socket's own buffers, which hold {@link #BUFFER} bytes at most (the system may count double).
 */
public final class UdpTransport implements Transport {
    private static final int BUFFER = 256 * 1024;

    /** How long {@link #close} waits for a receiver that is being called. */
    private static final long CLOSE_MS = 1000;

    private final List<InetSocketAddress> peers;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final int own;
    private final int maxMessageBytes;
    private final Receiver receiver;
    private final DatagramChannel channel;
    private final Selector selector;

    /**
     * Held while the receiver is called, so that nothing is taken once {@link #close} is through.
     */
    private final ReentrantLock taking = new ReentrantLock();

    private final LongAdder strangers = new LongAdder();
    private final LongAdder tooLong = new LongAdder();
    private final LongAdder thrown = new LongAdder();
    private volatile boolean closed;

    /**
     * @param peers by number; the own one may be anything, null too
     */
    public UdpTransport(
            int own,
            InetSocketAddress listen,
            List<InetSocketAddress> peers,
            int maxMessageBytes,
            Receiver receiver)
            throws IOException {
        this.own = own;
        this.peers = Collections.unmodifiableList(new ArrayList<>(peers));
        this.maxMessageBytes = maxMessageBytes;
        this.receiver = receiver;
        for (int i = 0; i < peers.size(); i++) {
            InetSocketAddress one = peers.get(i);
            if (i == own) {
                continue;
            }
            if (one == null || one.isUnresolved() || one.getPort() == 0) {
                throw new IllegalArgumentException(
                        "peers, " + i + ": expected an address that resolves, with port: " + one);
            }
            if (numbers.put(one, i) != null) {
                throw new IllegalArgumentException(
                        "peers, "
                                + i
                                + ": expected an address of its own, found "
                                + one
                                + " twice");
            }
        }
        selector = Selector.open();
        DatagramChannel opened = null;
        try {
            opened = DatagramChannel.open();
            opened.setOption(StandardSocketOptions.SO_RCVBUF, BUFFER)
                    .setOption(StandardSocketOptions.SO_SNDBUF, BUFFER);
            opened.bind(listen).configureBlocking(false);
            opened.register(selector, SelectionKey.OP_READ);
        } catch (IOException | RuntimeException e) {
            selector.close();
            if (opened != null) {
                opened.close();
            }
            throw e;
        }
        channel = opened;
        Thread thread = new Thread(this::listen, "fleet-transport-" + own);
        thread.setDaemon(true);
        thread.start();
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
                || to == own
                || message.length > maxMessageBytes) {
            return false;
        }
        try {
            // An empty datagram that was sent counts 0 bytes as well; whether it left is not known
            // then.
            return channel.send(ByteBuffer.wrap(message), peers.get(to)) == message.length;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    private void listen() {
        ByteBuffer buffer = ByteBuffer.allocate(maxMessageBytes + 1);
        while (!closed) {
            try {
                selector.select();
                selector.selectedKeys().clear();
                SocketAddress from;
                while (!closed && (from = channel.receive(buffer.clear())) != null) {
                    take(from, buffer.flip());
                }
            } catch (IOException e) {
                // An error that a peer's machine sent back for an earlier datagram: nothing was
                // received, nothing is lost.
                if (!channel.isOpen()) {
                    return;
                }
            } catch (java.nio.channels.ClosedSelectorException e) {
                return;
            }
        }
    }

    private void take(SocketAddress from, ByteBuffer received) {
        Integer number = numbers.get(from);
        if (number == null) {
            strangers.increment();
            return;
        }
        if (received.remaining() > maxMessageBytes) {
            tooLong.increment();
            return;
        }
        byte[] message = new byte[received.remaining()];
        received.get(message);
        taking.lock();
        try {
            if (!closed) {
                receiver.receive(number, message);
            }
        } catch (RuntimeException e) {
            thrown.increment();
        } finally {
            taking.unlock();
        }
    }

    public long strangers() {
        return strangers.sum();
    }

    public long tooLong() {
        return tooLong.sum();
    }

    /** How often the receiver threw. */
    public long thrown() {
        return thrown.sum();
    }

    /**
     * Returns once no message is taken any more, or after a second where a receiver hangs in one
     * that it has.
     */
    @Override
    public void close() {
        closed = true;
        boolean mine = false;
        try {
            mine = taking.tryLock(CLOSE_MS, TimeUnit.MILLISECONDS);
            selector.close();
            channel.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            if (mine) {
                taking.unlock();
            }
        }
    }
}
