package org.citrontide.runtime.log;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends the log of this process to its standard output, one line an event. Safe for use by many threads. */
public final class LogSetup {
    private static final Logger ROOT = Logger.getLogger("");

    private LogSetup() {}

    /**
     * Installs the line format.
     *
     * @param role what this process is
     * @param vm name of its VM
     * @param zone its availability zone
     */
    public static void install(String role, String vm, String zone) {
        for (Handler h : ROOT.getHandlers()) {
            ROOT.removeHandler(h);
        }
        ROOT.addHandler(new RingHandler(new PairFormatter(" role=" + role + " vm=" + vm + " zone=" + zone + " ")));
        ROOT.setLevel(Level.INFO);
        Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
        Logger.getLogger("io.netty").setLevel(Level.WARNING);
    }

    /** Waits, for a bounded time, until the lines so far are written; called before the process ends. */
    public static void flush() {
        for (Handler h : ROOT.getHandlers()) {
            h.flush();
        }
    }

    private static final class PairFormatter extends Formatter {
        private final String identity;

        private PairFormatter(String identity) {
            this.identity = identity;
        }

        @Override
        public String format(LogRecord r) {
            String message = formatMessage(r);
            String body = message.startsWith("event=") ? message : "event=library message=\"" + message + "\"";
            return "time=" + Instant.ofEpochMilli(r.getMillis()) + " level="
                    + r.getLevel().getName() + identity
                    + body.replace('\n', ' ') + System.lineSeparator() + trace(r.getThrown());
        }

        private static String trace(Throwable t) {
            if (t == null) {
                return "";
            }
            StringBuilder b = new StringBuilder();
            for (StackTraceElement e : t.getStackTrace()) {
                b.append("  at ").append(e).append(System.lineSeparator());
            }
            return b.toString();
        }
    }
}
