package tinford.logging;

import java.text.MessageFormat;
import java.util.Collections;
import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * Forwards the log entries of XNIO and JBoss Threads to {@link LineLogger}. Diagnostic contexts
 * (MDC and NDC) are ignored, as this program does not use them.
 */
public final class JBossLogBridge implements LoggerProvider {
    @Override
    public Logger getLogger(String name) {
        return new BridgedLogger(name);
    }

    private static final class BridgedLogger extends Logger {
        private static final long serialVersionUID = 1;

        private BridgedLogger(String name) {
            super(name);
        }

        private static System.Logger.Level toSystemLevel(Level level) {
            return switch (level) {
                case FATAL, ERROR -> System.Logger.Level.ERROR;
                case WARN -> System.Logger.Level.WARNING;
                case INFO -> System.Logger.Level.INFO;
                case DEBUG -> System.Logger.Level.DEBUG;
                default -> System.Logger.Level.TRACE;
            };
        }

        @Override
        public boolean isEnabled(Level level) {
            return LineLogger.isLoggable(getName(), toSystemLevel(level));
        }

        @Override
        protected void doLog(
                Level level,
                String callerClass,
                Object message,
                Object[] parameters,
                Throwable thrown) {
            if (!isEnabled(level)) {
                return;
            }
            String text = String.valueOf(message);
            boolean hasParameters = parameters != null && parameters.length > 0;
            write(level, hasParameters ? MessageFormat.format(text, parameters) : text, thrown);
        }

        @Override
        protected void doLogf(
                Level level,
                String callerClass,
                String format,
                Object[] parameters,
                Throwable thrown) {
            if (isEnabled(level)) {
                write(level, String.format(format, parameters), thrown);
            }
        }

        private void write(Level level, String text, Throwable thrown) {
            LineLogger.write(getName(), toSystemLevel(level), text, thrown);
        }
    }

    @Override
    public void clearMdc() {}

    @Override
    public Object putMdc(String key, Object value) {
        return null;
    }

    @Override
    public Object getMdc(String key) {
        return null;
    }

    @Override
    public void removeMdc(String key) {}

    @Override
    public Map<String, Object> getMdcMap() {
        return Collections.emptyMap();
    }

    @Override
    public void clearNdc() {}

    @Override
    public String getNdc() {
        return null;
    }

    @Override
    public int getNdcDepth() {
        return 0;
    }

    @Override
    public String popNdc() {
        return "";
    }

    @Override
    public String peekNdc() {
        return "";
    }

    @Override
    public void pushNdc(String message) {}

    @Override
    public void setNdcMaxDepth(int maxDepth) {}
}
