package org.citrontide.runtime.eventloop;

import org.citrontide.runtime.log.EventLog;

/**
 * A task whose unexpected exception is logged and goes no further, so that it neither ends a periodic timer nor skips
 * the work that follows. The process ends if memory has run out. Thread-safe if the task is.
 *
 * @param name name of the task in the log
 * @param task the task
 */
public record GuardedTask(String name, Runnable task) implements Runnable {
    private static final EventLog LOG = EventLog.of(GuardedTask.class);

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("task-failed", e).with("task", name).write();
        } catch (OutOfMemoryError e) {
            OutOfMemoryExit.check(e);
        }
    }
}
