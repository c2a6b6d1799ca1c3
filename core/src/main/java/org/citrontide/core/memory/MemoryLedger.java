package org.citrontide.core.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Accounts for the memory that callers and upstreams take, and decides whom to refuse when a bound is met.
 *
 * <p>Handles many callers that each hold back the end of a request of the largest allowed size, alone or beside
 * ordinary callers.
 *
 * <p>Invariants: after each call, all holders together, each holder, each account, and the large accounts together are
 * within their bounds; refused accounts are closed and no longer counted, so their owners must free the memory at once.
 * Among the accounts that can be refused, the one whose memory times its age is greatest goes first: that is the
 * largest of equally old ones and the slowest of equally large ones. If no other one can, the account that grows is
 * refused. Not thread-safe: confined to one thread.
 */
public final class MemoryLedger {
    // Below it, the age of an account says nothing about its speed, because reads take turns.
    private static final long MIN_AGE_NANOS = Duration.ofMillis(100).toNanos();
    // Reading of large requests pauses from here on, in eighths of a bound.
    private static final int HIGH_MARK_EIGHTHS = 7;
    private static final int EIGHTHS = 8;

    private final MemoryBounds bounds;
    private final Set<MemoryAccount> accounts = new LinkedHashSet<>();
    private final long[] usedByHolder = new long[MemoryHolder.values().length];
    private long usedBytes;
    private long largeBytes;

    /**
     * Creates an empty ledger.
     *
     * @param bounds the bounds
     */
    public MemoryLedger(MemoryBounds bounds) {
        this.bounds = bounds;
    }

    /**
     * Opens the account of a caller's connection.
     *
     * @param owner frees the memory when the account is refused
     * @return an empty account
     */
    public MemoryAccount open(MemoryOwner owner) {
        return open(owner, bounds.accountBytes());
    }

    /**
     * Opens an account.
     *
     * @param owner frees the memory when the account is refused
     * @param maxBytes maximum of the account
     * @return an empty account
     */
    public MemoryAccount open(MemoryOwner owner, long maxBytes) {
        MemoryAccount account = new MemoryAccount(owner, maxBytes);
        accounts.add(account);
        return account;
    }

    /**
     * Counts additional memory. Does nothing if the account is closed.
     *
     * @param account account that takes the memory
     * @param holder what holds it
     * @param bytes number of bytes, 0 or more
     * @param nowNanos monotonic time in ns
     * @return the accounts to refuse, usually none; their owners must free their memory
     */
    public List<MemoryRefusal> add(MemoryAccount account, MemoryHolder holder, long bytes, long nowNanos) {
        if (account.isClosed() || bytes == 0) {
            return List.of();
        }
        change(account, holder, bytes, nowNanos);
        return isWithinBounds(account, holder) ? List.of() : refuseUntilWithinBounds(account, holder, nowNanos);
    }

    /**
     * Stops to count memory. Does nothing if the account is closed.
     *
     * @param account account that frees the memory
     * @param holder what held it
     * @param bytes number of bytes, at most as many as are counted
     * @throws IllegalArgumentException if fewer bytes are counted
     */
    public void remove(MemoryAccount account, MemoryHolder holder, long bytes) {
        if (bytes < 0 || !account.isClosed() && bytes > account.bytes(holder)) {
            throw new IllegalArgumentException("more bytes than " + holder.key() + " has: " + bytes);
        }
        if (!account.isClosed()) {
            change(account, holder, -bytes, 0);
        }
    }

    /**
     * Counts memory for another holder. Does nothing if the account is closed.
     *
     * @param account the account
     * @param from what held the memory
     * @param to what holds it from now on
     * @param bytes number of bytes, at most as many as are counted for the former holder
     * @param nowNanos monotonic time in ns
     * @return the accounts to refuse, usually none; their owners must free their memory
     */
    public List<MemoryRefusal> move(
            MemoryAccount account, MemoryHolder from, MemoryHolder to, long bytes, long nowNanos) {
        remove(account, from, bytes);
        return add(account, to, bytes, nowNanos);
    }

    /**
     * Closes an account, whose memory is then no longer counted.
     *
     * @param account the account, which may be closed already
     */
    public void close(MemoryAccount account) {
        if (account.isClosed()) {
            return;
        }
        long bytes = account.totalBytes();
        for (MemoryHolder h : MemoryHolder.values()) {
            change(account, h, -account.bytes(h), 0);
        }
        account.setClosed(bytes);
        accounts.remove(account);
    }

    /**
     * Returns whether an account should take no more memory for now: it is large, and a bound is near.
     *
     * @param account the account
     * @return false if the account may grow
     */
    public boolean isUnderPressure(MemoryAccount account) {
        return account.totalBytes() > bounds.smallBytes() && isHigh();
    }

    /**
     * Selects the account to refuse because the pressure has lasted for too long, and closes it.
     *
     * @param nowNanos monotonic time in ns
     * @return the account, empty if there is no pressure or no account can be refused
     */
    public Optional<MemoryRefusal> relieve(long nowNanos) {
        if (!isHigh()) {
            return Optional.empty();
        }
        // While only the requests of callers press, refusing a response would free nothing that they need.
        boolean isTotalHigh = isHigh(largeBytes, bounds.totalBytes() - bounds.reserveBytes());
        Optional<MemoryAccount> heaviest = heaviest(
                a -> a.totalBytes() > bounds.smallBytes() && (isTotalHigh || a.bytes(MemoryHolder.CALLER_BODIES) > 0),
                nowNanos);
        heaviest.ifPresent(this::close);
        return heaviest.map(a -> new MemoryRefusal(a, MemoryBound.PRESSURE));
    }

    /**
     * Returns the memory of a holder.
     *
     * @param holder the holder
     * @return number of bytes of all accounts
     */
    public long usedBytes(MemoryHolder holder) {
        return usedByHolder[holder.ordinal()];
    }

    /**
     * Returns the memory of all holders.
     *
     * @return number of bytes
     */
    public long usedBytes() {
        return usedBytes;
    }

    /**
     * Returns the memory of the accounts that are not small.
     *
     * @return number of bytes
     */
    public long largeBytes() {
        return largeBytes;
    }

    private void change(MemoryAccount account, MemoryHolder holder, long change, long nowNanos) {
        largeBytes -= large(account);
        account.change(holder, change, nowNanos);
        largeBytes += large(account);
        usedByHolder[holder.ordinal()] += change;
        usedBytes += change;
    }

    private long large(MemoryAccount account) {
        return account.totalBytes() > bounds.smallBytes() ? account.totalBytes() : 0;
    }

    private boolean isWithinBounds(MemoryAccount account, MemoryHolder holder) {
        return account.totalBytes() <= account.maxBytes()
                && usedBytes(holder) <= bounds.share(holder)
                && largeBytes <= bounds.totalBytes() - bounds.reserveBytes()
                && usedBytes <= bounds.totalBytes();
    }

    private boolean isHigh() {
        return isHigh(usedBytes(MemoryHolder.CALLER_BODIES), bounds.share(MemoryHolder.CALLER_BODIES))
                || isHigh(usedBytes(MemoryHolder.WAITING_REQUESTS), bounds.share(MemoryHolder.WAITING_REQUESTS))
                || isHigh(largeBytes, bounds.totalBytes() - bounds.reserveBytes());
    }

    private static boolean isHigh(long used, long bound) {
        return used > bound / EIGHTHS * HIGH_MARK_EIGHTHS;
    }

    private List<MemoryRefusal> refuseUntilWithinBounds(MemoryAccount account, MemoryHolder holder, long nowNanos) {
        List<MemoryRefusal> refusals = new ArrayList<>();
        while (!account.isClosed() && !isWithinBounds(account, holder)) {
            MemoryRefusal refusal = select(account, holder, nowNanos);
            close(refusal.account());
            refusals.add(refusal);
        }
        return refusals;
    }

    private MemoryRefusal select(MemoryAccount account, MemoryHolder holder, long nowNanos) {
        if (account.totalBytes() > account.maxBytes()) {
            return new MemoryRefusal(account, MemoryBound.ACCOUNT);
        }
        if (usedBytes(holder) > bounds.share(holder)) {
            Predicate<MemoryAccount> hasShare = a -> holder.isRefusable() && a.bytes(holder) > 0;
            return new MemoryRefusal(heaviest(hasShare, nowNanos).orElse(account), MemoryBound.SHARE);
        }
        if (largeBytes > bounds.totalBytes() - bounds.reserveBytes()) {
            return new MemoryRefusal(heaviest(a -> large(a) > 0, nowNanos).orElse(account), MemoryBound.LARGE);
        }
        return new MemoryRefusal(heaviest(a -> true, nowNanos).orElse(account), MemoryBound.TOTAL);
    }

    private Optional<MemoryAccount> heaviest(Predicate<MemoryAccount> condition, long nowNanos) {
        MemoryAccount heaviest = null;
        double weight = 0;
        for (MemoryAccount a : accounts) {
            if (a.refusableBytes() > 0 && condition.test(a) && a.weight(nowNanos, MIN_AGE_NANOS) > weight) {
                heaviest = a;
                weight = a.weight(nowNanos, MIN_AGE_NANOS);
            }
        }
        return Optional.ofNullable(heaviest);
    }
}
