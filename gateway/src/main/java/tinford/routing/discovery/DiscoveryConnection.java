package tinford.routing.discovery;

import java.net.InetSocketAddress;
import tinford.protocol.ChunkedLineReader;
import tinford.protocol.EndpointListLimit;
import tinford.protocol.JsonObjectSplitter;
import tinford.protocol.ProtocolException;
import tinford.transport.CloseReason;
import tinford.transport.Connection;
import tinford.transport.DescriptorBudget;

/** An HTTP call to discovery: a watch, or a single fetch of the complete endpoint list. */
final class DiscoveryConnection extends Connection {
    private static final int MAX_UNREAD_BYTES = 64 << 10;
    private static final int MAX_UNWRITTEN_BYTES = 4096;
    private static final int MAX_LIST_BYTES =
            EndpointListLimit.maxBytes(Runtime.getRuntime().maxMemory());
    private final DiscoveryWatch watch;
    private final boolean fetch;
    private final ChunkedLineReader lines = new ChunkedLineReader(MAX_LIST_BYTES);
    private final JsonObjectSplitter objects;
    private boolean listReceived;

    /** Set by the callback for a line, which cannot throw a checked exception; else null. */
    private ProtocolException failure;

    /**
     * @param fetch whether to fetch the complete list once, rather than to watch it
     */
    DiscoveryConnection(DiscoveryWatch watch, boolean fetch) {
        super(watch.context.loop(), MAX_UNREAD_BYTES, MAX_UNWRITTEN_BYTES);
        this.watch = watch;
        this.fetch = fetch;
        this.objects = new JsonObjectSplitter(watch.json, MAX_LIST_BYTES);
        InetSocketAddress address = watch.address();
        String query = fetch ? "" : "?watch=1&after=" + watch.version();
        buffer.put("GET /registry/instances" + query + " HTTP/1.1\r\nHost: ")
                .put(address.getHostString() + ":" + address.getPort())
                .put("\r\n\r\n");
        open(address, watch.connectTimeoutMs);
    }

    @Override
    protected DescriptorBudget.PeerKind peerKind() {
        return DescriptorBudget.PeerKind.SERVICES;
    }

    @Override
    protected void onOpened() {}

    @Override
    protected void onReceived() {
        try {
            buffer.consume(
                    lines.read(
                            buffer.bytes(),
                            buffer.readIndex(),
                            buffer.readLimit(),
                            this::readLine));
            if (failure != null) {
                throw failure;
            }
            if (lines.isComplete()) {
                close(CloseReason.CLOSED_BY_PEER);
            }
        } catch (ProtocolException e) {
            watch.warnInvalid(e);
            close(CloseReason.PROTOCOL_ERROR);
        }
    }

    private void readLine(String line) {
        if (failure != null || isClosed()) {
            return;
        }
        try {
            handle(objects.addLine(line));
        } catch (ProtocolException e) {
            failure = e;
        }
    }

    /**
     * @param object text of an endpoint list, empty for a heartbeat, or null if incomplete
     */
    private void handle(String object) throws ProtocolException {
        if (object == null) {
            return;
        }
        if (!object.isEmpty()) {
            watch.listReceived(object);
            listReceived = true;
        }
        if (!fetch) {
            watch.lineReceived(this);
        }
    }

    @Override
    protected void onClosed(CloseReason reason) {
        if (fetch) {
            watch.fetchEnded(listReceived);
        } else {
            watch.watchEnded(this);
        }
    }
}
