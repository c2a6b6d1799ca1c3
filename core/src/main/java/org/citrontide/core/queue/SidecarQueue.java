package org.citrontide.core.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.citrontide.core.publication.Urgency;

/**
 * A bounded queue of the requests for one upstream, with urgency classes and fair shares among teams.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>At most {@link QueueShares#capacity()} requests wait.
 *   <li>Among classes with waiting requests, the most urgent is served first, except that every class with a guaranteed
 *       share gets at least that share of the cost served while it has waiting requests.
 *   <li>Within a class, teams share the cost served in proportion to their weights (start-time fair queueing).
 *   <li>A full queue evicts from the least urgent class that exceeds its reserved capacity, choosing the newest request
 *       of the team with the highest waiting cost relative to its weight. The evicted request has not run.
 * </ul>
 *
 * <p>Every operation on one request takes time logarithmic in the number of teams and waiting requests. Not
 * thread-safe: confined to one thread.
 */
public final class SidecarQueue {
    private static final int FULL_PERCENT = 100;

    private final Map<Urgency, ClassQueue> classes = new EnumMap<>(Urgency.class);
    private final Map<Long, QueuedRequest> byId = new HashMap<>();
    private final TreeSet<QueuedRequest> byDeadline =
            new TreeSet<>(Comparator.comparingLong(QueuedRequest::deadlineNanos).thenComparingLong(QueuedRequest::id));
    private QueueShares shares;
    private long waitingCost;

    /**
     * Creates an empty queue.
     *
     * @param shares capacity and shares of the queue
     */
    public SidecarQueue(QueueShares shares) {
        this.shares = shares;
        for (Urgency u : Urgency.values()) {
            classes.put(u, new ClassQueue());
        }
    }

    /**
     * Sets the capacity and shares. Waiting requests are kept even if they exceed a smaller capacity.
     *
     * @param newShares the new capacity and shares
     */
    public void configure(QueueShares newShares) {
        shares = newShares;
    }

    /**
     * Adds a request, and evicts a request if the queue is full.
     *
     * @param request the request to add
     * @return the evicted request, which may be the new one, or empty if there was capacity
     * @throws IllegalArgumentException if a request with the same identifier is already queued
     */
    public Optional<QueuedRequest> offer(QueuedRequest request) {
        if (byId.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is already queued");
        }
        addRequest(request);
        if (byId.size() <= shares.capacity()) {
            return Optional.empty();
        }
        QueuedRequest evicted = classes.get(classToEvictFrom()).newestOfHeaviestTeam();
        remove(evicted.id());
        return Optional.of(evicted);
    }

    /**
     * Removes and returns the next request to run.
     *
     * @return the request, or empty if none waits
     */
    public Optional<QueuedRequest> take() {
        return byId.isEmpty() ? Optional.empty() : serve(classToServe());
    }

    /**
     * Removes and returns the next request to run, limiting classes below live to their guaranteed shares.
     *
     * @return the request, or empty if none may start
     */
    public Optional<QueuedRequest> takeLiveOrGuaranteed() {
        if (byId.isEmpty()) {
            return Optional.empty();
        }
        Urgency u = classToServe();
        boolean allowed = u == Urgency.LIVE || isGuaranteeDue(classes.get(u));
        return allowed ? serve(u) : Optional.empty();
    }

    /**
     * Removes and returns the next live request to run.
     *
     * @return the request, or empty if no live request waits
     */
    public Optional<QueuedRequest> takeLive() {
        return size(Urgency.LIVE) == 0 ? Optional.empty() : serve(Urgency.LIVE);
    }

    /**
     * Removes a request.
     *
     * @param id identifier of the request
     * @return the removed request, or empty if no such request waits
     */
    public Optional<QueuedRequest> remove(long id) {
        QueuedRequest request = byId.get(id);
        if (request == null) {
            return Optional.empty();
        }
        classes.get(request.urgency()).remove(request, shares);
        removeFromIndexes(request);
        return Optional.of(request);
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param nowNanos monotonic time in ns
     * @return the removed requests
     */
    public List<QueuedRequest> expire(long nowNanos) {
        List<QueuedRequest> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
            QueuedRequest request = byDeadline.first();
            remove(request.id());
            expired.add(request);
        }
        return expired;
    }

    /**
     * Removes every request.
     *
     * @return the removed requests
     */
    public List<QueuedRequest> drain() {
        List<QueuedRequest> all = new ArrayList<>(byDeadline);
        all.forEach(w -> remove(w.id()));
        return all;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests
     */
    public int size() {
        return byId.size();
    }

    /**
     * Returns the number of waiting requests of a class.
     *
     * @param urgency the urgency class
     * @return number of requests
     */
    public int size(Urgency urgency) {
        return classes.get(urgency).size;
    }

    /**
     * Returns the estimated cost of all waiting requests.
     *
     * @return cost in tokens
     */
    public long waitingCost() {
        return waitingCost;
    }

    /**
     * Returns the earliest deadline of a waiting request.
     *
     * @return monotonic time in ns, or empty if none waits
     */
    public Optional<Long> nextDeadlineNanos() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().deadlineNanos());
    }

    private Optional<QueuedRequest> serve(Urgency u) {
        QueuedRequest request = classes.get(u).serveNext(shares);
        removeFromIndexes(request);
        chargeGuarantees(u, request.cost());
        return Optional.of(request);
    }

    private void addRequest(QueuedRequest request) {
        classes.get(request.urgency()).add(request, shares);
        byId.put(request.id(), request);
        byDeadline.add(request);
        waitingCost += request.cost();
    }

    private void removeFromIndexes(QueuedRequest request) {
        byId.remove(request.id());
        byDeadline.remove(request);
        waitingCost -= request.cost();
    }

    private Urgency classToEvictFrom() {
        Urgency[] all = Urgency.values();
        for (int i = all.length - 1; i > 0; i--) {
            if (size(all[i]) > shares.reservedCapacity(all[i])) {
                return all[i];
            }
        }
        return size(all[0]) > 0 ? all[0] : leastUrgentNonEmptyClass();
    }

    private Urgency leastUrgentNonEmptyClass() {
        Urgency[] all = Urgency.values();
        for (int i = all.length - 1; i > 0; i--) {
            if (size(all[i]) > 0) {
                return all[i];
            }
        }
        return all[0];
    }

    private Urgency classToServe() {
        Urgency first = null;
        for (Urgency u : Urgency.values()) {
            ClassQueue q = classes.get(u);
            if (q.size == 0) {
                continue;
            }
            if (first == null) {
                first = u;
            } else if (isGuaranteeDue(q)) {
                return u;
            }
        }
        return first;
    }

    private static boolean isGuaranteeDue(ClassQueue q) {
        return q.guaranteeCredit >= (long) q.nextCost() * FULL_PERCENT;
    }

    /** Updates the guarantee credit of each class, in hundredths of the cost unit so that percentages are exact. */
    private void chargeGuarantees(Urgency served, int cost) {
        for (Urgency u : Urgency.values()) {
            ClassQueue q = classes.get(u);
            boolean hadRequests = q.size > 0 || u == served;
            if (!hadRequests) {
                q.guaranteeCredit = 0;
                continue;
            }
            q.guaranteeCredit += (long) cost * shares.percent(u);
            if (u == served) {
                q.guaranteeCredit = Math.max(0, q.guaranteeCredit - (long) cost * FULL_PERCENT);
            }
        }
    }
}
