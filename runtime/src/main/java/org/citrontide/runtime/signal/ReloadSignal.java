package org.citrontide.runtime.signal;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

import org.citrontide.runtime.log.EventLog;

/**
 * Handles SIGHUP, which would end the process otherwise. The JDK's only interface for signals is internal and may be
 * missing, so it is found at run time. Stateless and safe for use by many threads.
 */
public final class ReloadSignal {
    private static final EventLog LOG = EventLog.of(ReloadSignal.class);

    private ReloadSignal() {}

    /**
     * Runs a task at each SIGHUP.
     *
     * @param task what to do, on a thread of the JDK
     */
    public static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, (p, m, args) -> {
                if (m.getName().equals("handle")) {
                    task.run();
                }
                return null;
            });
            Object hup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hup, proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            LOG.warn("reload-signal-unavailable").with("why", e).write();
        }
    }
}
