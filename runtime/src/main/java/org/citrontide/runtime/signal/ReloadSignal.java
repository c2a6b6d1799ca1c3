package org.citrontide.runtime.signal;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

import org.citrontide.runtime.log.EventLog;

/**
 * Handles SIGHUP, whose default action terminates the process. The JDK's only API for signals is internal and may be
 * missing, so it is looked up by reflection. Stateless and thread-safe.
 */
public final class ReloadSignal {
    private static final EventLog LOG = EventLog.of(ReloadSignal.class);

    private ReloadSignal() {}

    /**
     * Runs a task on each SIGHUP. If the handler can't be installed, a warning is logged and the default action stays.
     *
     * @param task the task, run on a thread of the JDK
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
