package org.citrontide.runtime.log;

import java.time.Instant;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures java.util.logging to write to standard output, one line per event. Thread-safe. */
public final class LogSetup {
    private static final Logger ROOT = Logger.getLogger("");

    private LogSetup() {}

    /**
     * Replaces the handlers of the root logger and sets the log levels.
     *
     * @param role role of this process, written on each line
     * @param vm name of the VM, written on each line
     * @param zone availability zone of the VM, written on each line
     */
    public static void install(String role, String vm, String zone) {
        for (Handler h : ROOT.getHandlers()) {
            ROOT.removeHandler(h);
        }
        ROOT.addHandler(new AsyncLogHandler(new PairFormatter(" role=" + role + " vm=" + vm + " zone=" + zone + " ")));
        ROOT.setLevel(Level.INFO);
        Logger.getLogger("org.eclipse.jetty").setLevel(Level.WARNING);
        Logger.getLogger("io.netty").setLevel(Level.WARNING);
    }

    /** Waits, with a timeout, until the queued lines are written. To be called before the process exits. */
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
                    + body.replace('\n', ' ') + System.lineSeparator() + formatStackTrace(r.getThrown());
        }

        private static String formatStackTrace(Throwable t) {
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
