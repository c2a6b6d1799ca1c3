package org.citrontide.gateway.caller;

/** Hears of the requests of callers. Called on the event loop. */
public interface CallerListener {

    /**
     * A request arrived whole, and is the next one due on its connection.
     *
     * @param request the request
     */
    void arrived(CallerRequest request);

    /**
     * The caller of a request that has no final answer went away.
     *
     * @param request the request
     */
    void gone(CallerRequest request);

    /**
     * Says whether connections should end with their next answer.
     *
     * @return true while the process is stopping
     */
    boolean isStopping();
}
