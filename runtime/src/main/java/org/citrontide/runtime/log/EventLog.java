package org.citrontide.runtime.log;

import org.jboss.logging.Logger;

/**
 * Writes one line of key=value pairs for each event. Safe for use by many threads.
 *
 * <p>Invariant: values are quoted where they hold a blank, a quote or a line break, so that one event is one line.
 */
public final class EventLog {
    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the log of a class.
     *
     * @param type the class
     * @return its log
     */
    public static EventLog of(Class<?> type) {
        return new EventLog(Logger.getLogger(type));
    }

    /**
     * Starts a line on something that happens in the ordinary course.
     *
     * @param event name of the event
     * @return the line
     */
    public Line info(String event) {
        return new Line(Logger.Level.INFO, event, null);
    }

    /**
     * Starts a line that is of use only in the search for a fault.
     *
     * @param event name of the event
     * @return the line
     */
    public Line debug(String event) {
        return new Line(Logger.Level.DEBUG, event, null);
    }

    /**
     * Starts a line on something that an operator should look at.
     *
     * @param event name of the event
     * @return the line
     */
    public Line warn(String event) {
        return new Line(Logger.Level.WARN, event, null);
    }

    /**
     * Starts a line on a fault of this program.
     *
     * @param event name of the event
     * @param cause what was thrown
     * @return the line
     */
    public Line error(String event, Throwable cause) {
        return new Line(Logger.Level.ERROR, event, cause);
    }

    /** One line in the making. Not thread-safe. */
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
         * Adds a pair.
         *
         * @param key the key
         * @param value the value
         * @return this line
         */
        public Line with(String key, Object value) {
            text.append(' ').append(key).append('=').append(quoted(String.valueOf(value)));
            return this;
        }

        /** Writes the line. */
        public void write() {
            if (cause != null) {
                with("cause", cause);
            }
            logger.log(level, text, cause);
        }

        private static String quoted(String v) {
            boolean plain = !v.isEmpty() && v.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
            if (plain) {
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
