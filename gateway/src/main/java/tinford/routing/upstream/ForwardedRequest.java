package tinford.routing.upstream;

import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;
import tinford.transport.CloseReason;

/** A request as the servers' side sees it: the command to send, and where the response goes. */
public abstract class ForwardedRequest extends Request {
    public final ClientCommand command;

    protected ForwardedRequest(
            ClientCommand command, RequestClass requestClass, Tenant tenant, double deadlineMs) {
        super(command.id, requestClass, tenant, deadlineMs, command.units, command.markedAsRetry);
        this.command = command;
    }

    /** Whether it has its final answer, or its client is gone. */
    public abstract boolean isFinished();

    /** Whether all requests before it on its connection are answered. */
    protected abstract boolean isNextToAnswer();

    /** Answers it with a value, which is copied. */
    protected abstract void answer(byte[] value, int from, int length);

    /** Sets the connection that streams the response, or null once none does. */
    protected abstract void setResponseSource(ResponseSource source);

    /** Begins a streamed response; only while {@link #isNextToAnswer}. */
    protected abstract void startStream(long length);

    /**
     * Writes a part of the streamed response.
     *
     * @return whether the client can take more; if not, {@link ResponseSource#resume} follows
     */
    protected abstract boolean writeStreamPart(byte[] bytes, int from, int length);

    /** Ends a streamed response that is complete. */
    protected abstract void endStream();

    /** Breaks a streamed response off, which only the end of the client's connection can show. */
    protected abstract void abortStream(CloseReason reason);
}
