package tinford.routing.upstream;

import tinford.api.AttemptOutcome;
import tinford.transport.CloseReason;
import tinford.transport.EventLoop;

/** One attempt to execute a request at a server. */
public final class ServerAttempt {
    public final ForwardedRequest request;

    /** Index of this attempt among the attempts of the request, from 0. */
    public final int number;

    public final double startedAtMs;

    /** The connection that the attempt was assigned to, or null if none. */
    ServerConnection connection;

    private EventLoop.Timer timeout;
    private EventLoop.Timer sendDeadline;
    private boolean ended;
    private boolean mayHaveRun = true;

    public ServerAttempt(ForwardedRequest request, int number, double startedAtMs) {
        this.request = request;
        this.number = number;
        this.startedAtMs = startedAtMs;
    }

    /** Sets the timeout timer, which is cancelled when the attempt ends. */
    public void setTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    /** Sets the timer by which the last byte must be written; cancelled when the attempt ends. */
    public void setSendDeadline(EventLoop.Timer timer) {
        sendDeadline = timer;
    }

    /** Stops all timers of the attempt. */
    public void cancelTimers() {
        if (timeout != null) {
            timeout.cancel();
        }
        if (sendDeadline != null) {
            sendDeadline.cancel();
        }
    }

    /** Marks the attempt as ended and cancels its timers; returns false if it had already ended. */
    public boolean markEnded(AttemptOutcome outcome) {
        if (ended) {
            return false;
        }
        ended = true;
        mayHaveRun = outcome.mayHaveRun;
        cancelTimers();
        return true;
    }

    /** Whether a server may have executed the command, also if the attempt has not ended. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Abandons the attempt by closing its connection, unless the attempt has ended. */
    public void close(CloseReason reason) {
        if (!ended && connection != null) {
            connection.close(reason);
        }
    }

    /**
     * Abandons the attempt if the last byte of its command has not been written. The server cannot
     * have executed it then.
     */
    public void closeIfUnsent() {
        if (!ended && connection != null && !connection.isSent()) {
            connection.close(CloseReason.CANCELLED);
        }
    }
}
