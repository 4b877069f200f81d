package tinford.fleet.store;

import java.io.IOException;

/** An entry was not acknowledged: it was not appended, or whether it was is unknown. */
public final class LogAppendException extends IOException {
    private static final long serialVersionUID = 1L;

    private LogAppendException(String message, Throwable cause) {
        super("log: " + message, cause);
    }

    static LogAppendException closed() {
        return new LogAppendException("closed", null);
    }

    static LogAppendException restarting() {
        return new LogAppendException("this member is being restarted", null);
    }

    static LogAppendException tooLarge(int bytes, int maxBytes) {
        return new LogAppendException(
                "entry of " + bytes + " bytes, expected at most " + maxBytes, null);
    }

    static LogAppendException tooManyInFlight(int maxInFlight) {
        return new LogAppendException(maxInFlight + " appends wait already", null);
    }

    static LogAppendException timedOut(double timeoutMs) {
        return new LogAppendException("not within " + timeoutMs + " ms", null);
    }

    static LogAppendException leaderReplaced() {
        return new LogAppendException("leader replaced", null);
    }

    static LogAppendException failedAt(Object leader, Throwable cause) {
        return new LogAppendException("append at " + leader + " failed: " + cause, cause);
    }
}
