package org.citrontide.gateway.caller;

import org.citrontide.core.memory.MemoryAccount;
import org.citrontide.core.memory.MemoryHolder;
import org.citrontide.core.memory.MemoryOwner;
import org.citrontide.gateway.memory.MemoryGuard;

/**
 * Counts the memory of the requests of one connection.
 *
 * <p>Invariant: after each read, the incomplete head or request is counted as far as it has arrived, and a complete
 * request is counted until its final response. Not thread-safe: owned by the event loop.
 */
final class ConnectionMemory {
    private final MemoryGuard guard;
    private final MemoryAccount account;
    private long headBytes;
    private long bodyBytes;

    ConnectionMemory(MemoryGuard guard, MemoryOwner owner) {
        this.guard = guard;
        this.account = guard.open(owner);
    }

    /** Counts what is incomplete after a read: a head, or a request whose head is decoded. */
    void setIncomplete(long newHeadBytes, long newBodyBytes) {
        headBytes = change(MemoryHolder.CALLER_HEADS, headBytes, newHeadBytes);
        bodyBytes = change(MemoryHolder.CALLER_BODIES, bodyBytes, newBodyBytes);
    }

    /** Counts the incomplete request, which is now complete, as waiting. */
    void requestCompleted(long bytes) {
        setIncomplete(0, 0);
        guard.add(account, MemoryHolder.WAITING_REQUESTS, bytes);
    }

    void requestEnded(long bytes) {
        guard.remove(account, MemoryHolder.WAITING_REQUESTS, bytes);
    }

    boolean isUnderPressure() {
        return guard.isUnderPressure(account);
    }

    long waitingBytes() {
        return account.bytes(MemoryHolder.WAITING_REQUESTS);
    }

    long incompleteBytes() {
        return headBytes + bodyBytes;
    }

    /** Returns the memory of all requests, also after the account was refused. */
    long totalBytes() {
        return account.isClosed() ? account.closedBytes() : account.totalBytes();
    }

    void close() {
        guard.close(account);
    }

    private long change(MemoryHolder holder, long counted, long bytes) {
        if (bytes > counted) {
            guard.add(account, holder, bytes - counted);
        } else if (bytes < counted) {
            guard.remove(account, holder, counted - bytes);
        }
        return bytes;
    }
}
