package tinford.logging;

import java.text.MessageFormat;
import java.util.Collections;
import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * What XNIO and its threads say goes into the same lines. Contexts of threads, which nobody here
 * sets, are not kept.
 */
public final class JBossLogBridge implements LoggerProvider {
    @Override
    public Logger getLogger(String name) {
        return new Line(name);
    }

    private static final class Line extends Logger {
        private static final long serialVersionUID = 1;

        private Line(String name) {
            super(name);
        }

        private static System.Logger.Level of(Level level) {
            switch (level) {
                case FATAL:
                case ERROR:
                    return System.Logger.Level.ERROR;
                case WARN:
                    return System.Logger.Level.WARNING;
                case INFO:
                    return System.Logger.Level.INFO;
                case DEBUG:
                    return System.Logger.Level.DEBUG;
                default:
                    return System.Logger.Level.TRACE;
            }
        }

        @Override
        public boolean isEnabled(Level level) {
            return LineLogger.told(getName(), of(level));
        }

        @Override
        protected void doLog(
                Level level, String by, Object message, Object[] parameters, Throwable thrown) {
            if (isEnabled(level)) {
                String text = String.valueOf(message);
                LineLogger.write(
                        getName(),
                        of(level),
                        parameters == null || parameters.length == 0
                                ? text
                                : MessageFormat.format(text, parameters),
                        thrown);
            }
        }

        @Override
        protected void doLogf(
                Level level, String by, String format, Object[] parameters, Throwable thrown) {
            if (isEnabled(level)) {
                LineLogger.write(getName(), of(level), String.format(format, parameters), thrown);
            }
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
