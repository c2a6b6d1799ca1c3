package org.citrontide.runtime.log;

import org.jboss.logging.Logger;

/**
 * Writes each event as one line of key=value pairs. Thread-safe.
 *
 * <p>Invariant: a value that is empty or contains whitespace, a quote or an equals sign is quoted, and its line breaks
 * are escaped, so that one event takes one line.
 */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the event log of a class.
     *
     * @param type the class whose name becomes the logger name
     * @return the event log
     */
    public static EventLog of(Class<?> type) {
        return new EventLog(Logger.getLogger(type));
    }

    /**
     * Starts a line at level INFO, for an event of normal operation.
     *
     * @param event the event name
     * @return the line, which is written by {@link Line#write()}
     */
    public Line info(String event) {
        return new Line(Logger.Level.INFO, event, null);
    }

    /**
     * Starts a line at level DEBUG, for an event that is useful only for troubleshooting.
     *
     * @param event the event name
     * @return the line, which is written by {@link Line#write()}
     */
    public Line debug(String event) {
        return new Line(Logger.Level.DEBUG, event, null);
    }

    /**
     * Starts a line at level WARN, for an event that needs an operator's attention.
     *
     * @param event the event name
     * @return the line, which is written by {@link Line#write()}
     */
    public Line warn(String event) {
        return new Line(Logger.Level.WARN, event, null);
    }

    /**
     * Starts a line at level ERROR, for an internal error of this program.
     *
     * @param event the event name
     * @param cause the exception, logged with its stack trace
     * @return the line, which is written by {@link Line#write()}
     */
    public Line error(String event, Throwable cause) {
        return new Line(Logger.Level.ERROR, event, cause);
    }

    /** Builds and writes one log line. Not thread-safe. */
    public final class Line {
        private final Logger.Level level;
        private final Throwable cause;
        private final StringBuilder text = new StringBuilder();

        private Line(Logger.Level level, String event, Throwable cause) {
            this.level = level;
            this.cause = cause;
            text.append("event=").append(event);
        }

        /**
         * Appends a key=value pair.
         *
         * @param key the key
         * @param value the value
         * @return this line
         */
        public Line with(String key, Object value) {
            text.append(' ').append(key).append('=').append(quoted(String.valueOf(value)));
            return this;
        }

        /** Writes the line to the logger, with the cause as its last pair if there is one. */
        public void write() {
            if (cause != null) {
                with("cause", cause);
            }
            logger.log(level, text, cause);
        }

        private static String quoted(String v) {
            boolean isPlain = !v.isEmpty() && v.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
            if (isPlain) {
                return v;
            }
            return '"'
                    + v.replace("\\", "\\\\")
                            .replace("\"", "\\\"")
                            .replace("\n", "\\n")
                            .replace("\r", "\\r")
                    + '"';
        }
    }
}
