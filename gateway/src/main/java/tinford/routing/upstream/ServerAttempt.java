package tinford.routing.upstream;

import tinford.transport.CloseReason;
import tinford.transport.EventLoop;

/** One attempt of a request at a server. */
public final class ServerAttempt {
    public final ForwardedRequest request;

    /** Counts the attempts of the request from 0. */
    public final int number;

    public final double startedAtMs;

    /** The connection it was sent on, or null before it was sent. */
    ServerConnection connection;

    private EventLoop.Timer timeout;
    private EventLoop.Timer sendDeadline;
    private boolean ended;

    public ServerAttempt(ForwardedRequest request, int number, double startedAtMs) {
        this.request = request;
        this.number = number;
        this.startedAtMs = startedAtMs;
    }

    /** Sets the timer of its time-out, which ends with it. */
    public void setTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    /** Sets the timer of when its last byte is to be written, which ends with it. */
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

    /** Marks it as ended and cancels its timers; false if it had ended before. */
    public boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        cancelTimers();
        return true;
    }

    /** Gives it up by closing its connection. */
    public void close(CloseReason reason) {
        if (!ended && connection != null) {
            connection.close(reason);
        }
    }

    /** Gives it up if its command is not written to the last byte: then it cannot have run. */
    public void closeIfUnsent() {
        if (!ended && connection != null && !connection.isSent()) {
            connection.close(CloseReason.CANCELLED);
        }
    }
}
