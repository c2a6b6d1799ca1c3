package org.citrontide.gateway.caller;

/** Receives the requests of callers. Called on the event loop. */
public interface CallerListener {

    /**
     * Handles a complete request, which is now the current one of its connection.
     *
     * @param request the request
     */
    void requestArrived(CallerRequest request);

    /**
     * Handles the disconnection of a caller whose request has no final response yet.
     *
     * @param request the request
     */
    void callerDisconnected(CallerRequest request);

    /**
     * Handles that a caller has read enough for its response to go on.
     *
     * @param request the current request of the connection
     */
    void callerWritable(CallerRequest request);

    /**
     * Returns whether each connection is to be closed after its next response.
     *
     * @return true while the process is stopping
     */
    boolean isStopping();
}
