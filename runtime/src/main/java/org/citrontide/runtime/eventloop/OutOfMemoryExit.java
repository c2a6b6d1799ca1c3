package org.citrontide.runtime.eventloop;

import java.util.function.IntConsumer;

import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogSetup;

/**
 * Ends the process at once when memory has run out, since neither its state nor its threads can be relied on then.
 *
 * <p>The flag {@code ExitOnOutOfMemoryError} covers only errors that the virtual machine itself raises: those of direct
 * memory are raised by libraries and would only close the connection that met them. Thread-safe.
 */
public final class OutOfMemoryExit {
    /** Exit code, the same as that of the flag {@code ExitOnOutOfMemoryError}. */
    public static final int EXIT_CODE = 3;

    private static final EventLog LOG = EventLog.of(OutOfMemoryExit.class);

    private OutOfMemoryExit() {}

    /**
     * Ends the process if an error or one of its causes tells that memory has run out.
     *
     * @param error the error, may be null
     */
    public static void check(Throwable error) {
        check(error, Runtime.getRuntime()::halt);
    }

    static void check(Throwable error, IntConsumer halt) {
        for (Throwable t = error; t != null; t = t.getCause()) {
            if (t instanceof OutOfMemoryError) {
                exit(t, halt);
                return;
            }
        }
    }

    private static void exit(Throwable error, IntConsumer halt) {
        try {
            LOG.warn("out-of-memory")
                    .with("why", error.getMessage())
                    .with("exit", EXIT_CODE)
                    .write();
            LogSetup.flush();
        } finally {
            halt.accept(EXIT_CODE);
        }
    }
}
