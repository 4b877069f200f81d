package tinford.routing.client;

import java.util.ArrayList;
import java.util.List;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;
import tinford.routing.upstream.ForwardedRequest;
import tinford.routing.upstream.ResponseSource;
import tinford.routing.upstream.ServerAttempt;
import tinford.transport.CloseReason;

/** A client's request, with its connection, its response slot and its attempts. */
public final class ClientRequest extends ForwardedRequest {
    /** Response to a request that a server may have executed. */
    private static final String ABORTED = "-ERR aborted";

    final ClientConnection connection;
    final ResponseSlot slot = new ResponseSlot(this);
    private final List<ServerAttempt> attempts = new ArrayList<>(1);
    private boolean finished;

    ClientRequest(
            ClientConnection connection,
            ClientCommand command,
            RequestClass requestClass,
            Tenant tenant,
            double deadlineMs) {
        super(command, requestClass, tenant, deadlineMs);
        this.connection = connection;
    }

    /** Adds the next attempt. */
    public ServerAttempt addAttempt(double nowMs) {
        ServerAttempt attempt = new ServerAttempt(this, attempts.size(), nowMs);
        attempts.add(attempt);
        return attempt;
    }

    /** Returns the attempt with a number, counted from 0. */
    public ServerAttempt attempt(int number) {
        return attempts.get(number);
    }

    boolean hasAttempts() {
        return !attempts.isEmpty();
    }

    /** Whether a server may have executed the request, which then must not be sent again. */
    boolean isExecutedOnce() {
        return ExecutedIds.isKeptFor(requestClass)
                && attempts.stream().anyMatch(ServerAttempt::mayHaveRun);
    }

    /** Abandons attempts that servers cannot have executed, as they are not sent completely. */
    void closeUnsentAttempts() {
        attempts.forEach(ServerAttempt::closeIfUnsent);
    }

    @Override
    public boolean isFinished() {
        return finished;
    }

    /** Marks the request as finished, and releases its command, which is not sent any more. */
    void markFinished() {
        finished = true;
        command.releaseBytes();
    }

    @Override
    public boolean clientGone() {
        return connection.isClientGone();
    }

    @Override
    protected boolean isNextToAnswer() {
        return connection.responses.isNext(slot);
    }

    @Override
    protected void answer(byte[] value, int from, int length) {
        connection.answerValue(slot, value, from, length);
    }

    @Override
    protected void setResponseSource(ResponseSource source) {
        connection.responses.setSource(slot, source);
    }

    @Override
    protected void startStream(long length) {
        connection.responses.startStream(length);
    }

    @Override
    protected boolean writeStreamPart(byte[] bytes, int from, int length) {
        return connection.writeStreamPart(bytes, from, length);
    }

    @Override
    protected void endStream() {
        connection.endStream();
    }

    @Override
    protected void abortStream(CloseReason reason) {
        connection.close(reason);
    }

    @Override
    protected void answerAborted() {
        if (!connection.isClosed()) {
            connection.answerLine(slot, ABORTED);
        }
    }
}
