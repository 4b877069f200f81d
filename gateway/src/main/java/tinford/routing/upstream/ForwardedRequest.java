package tinford.routing.upstream;

import tinford.api.Request;
import tinford.api.RequestClass;
import tinford.api.Tenant;
import tinford.protocol.ClientCommand;
import tinford.transport.CloseReason;

/** A request to be sent to a server: the command, and the destination of the response. */
public abstract class ForwardedRequest extends Request {
    public final ClientCommand command;

    protected ForwardedRequest(
            ClientCommand command, RequestClass requestClass, Tenant tenant, double deadlineMs) {
        super(command.id, requestClass, tenant, deadlineMs, command.units, command.markedAsRetry);
        this.command = command;
    }

    /** Whether the request has its final answer, or its client has disconnected. */
    public abstract boolean isFinished();

    /** Whether all earlier requests on the same client connection have been answered. */
    protected abstract boolean isNextToAnswer();

    /** Answers the request with a value. The bytes are copied. */
    protected abstract void answer(byte[] value, int from, int length);

    /** Sets the source of a streamed response, or null when the stream has ended. */
    protected abstract void setResponseSource(ResponseSource source);

    /** Starts a streamed response. May be called only if {@link #isNextToAnswer} is true. */
    protected abstract void startStream(long length);

    /**
     * Writes a part of a streamed response.
     *
     * @return whether the client can receive more; if false, {@link ResponseSource#resume} is
     *     called once it can
     */
    protected abstract boolean writeStreamPart(byte[] bytes, int from, int length);

    /** Completes a streamed response. */
    protected abstract void endStream();

    /**
     * Aborts a streamed response by closing the client's connection. The protocol has no other way
     * to indicate that a response which has been started is incomplete.
     */
    protected abstract void abortStream(CloseReason reason);

    /** Answers the request as failed, also in place of a response that was not forwarded. */
    protected abstract void answerAborted();
}
