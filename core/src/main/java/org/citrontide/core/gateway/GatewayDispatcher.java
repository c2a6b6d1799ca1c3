package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Dispatches the requests of one gateway to upstreams and decides the final outcome of each.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each request ends in exactly one of {@link GatewayAction.Deliver}, {@link GatewayAction.Refuse} and {@link
 *       GatewayAction.AbortResponse}, unless its caller disconnected; no later action refers to it.
 *   <li>A request ends in {@link Verdict.NotRun} only if each of its attempts certainly did not run.
 *   <li>A request that must run at most once gets another attempt only if all earlier ones certainly did not run.
 *   <li>A request reaches at most as many upstreams as its route allows, and retries stay within the retry budget.
 * </ul>
 *
 * <p>Not thread-safe: confined to one thread. Does no I/O and reads no clock; the source of randomness is passed in.
 */
public final class GatewayDispatcher {
    // No upstream can respond within less time than this.
    private static final Duration MIN_REMAINING = Duration.ofMillis(20);
    // Pause after a rejection for a full queue: about the duration of one response of a plain service.
    private static final Duration QUEUE_FULL_PAUSE = Duration.ofMillis(60);
    // The address belongs to another upstream until an update of the upstream list says otherwise.
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(5);
    // Pause for a member of a group that is down, while other groups of the service respond.
    private static final Duration OTHER_GROUP_PAUSE = Duration.ofSeconds(1);
    // A stream without bytes for this long is considered lost if other streams of its service make progress.
    private static final Duration STREAM_STALL_TIMEOUT = Duration.ofMillis(900);
    private static final Duration ACTIVITY_WINDOW = Duration.ofMillis(300);
    // If a larger fraction of the upstreams is slow, the others lack the capacity to take over their streams.
    private static final double MAX_SLOW_FRACTION = 0.25;
    // A plain idempotent request is retried elsewhere after this multiple of its target latency.
    private static final int STALL_TARGET_MULTIPLE = 3;

    private final UpstreamRegistry registry = new UpstreamRegistry();
    private final UpstreamSelector selector;
    private final RetryAfterPolicy retryAfterPolicy;
    private final Supplier<GatewayRetryBudget> retryBudgets;
    private final Map<String, GatewayRetryBudget> budgetByService = new HashMap<>();
    private final Map<String, AdmissionQueue> queues = new HashMap<>();
    private final Map<String, SlownessDetector> detectorByService = new HashMap<>();
    private final Map<Long, OpenGatewayRequest> openById = new HashMap<>();
    private final Map<Long, OpenGatewayRequest> byAttempt = new HashMap<>();
    private final TreeSet<GatewayRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(GatewayRequest::deadlineNanos).thenComparingLong(GatewayRequest::id));
    private long nextAttemptNumber = 1;

    /**
     * Creates a dispatcher without upstreams.
     *
     * @param zone the gateway's availability zone
     * @param retryBudgets factory of the retry budget of each service
     * @param random source of randomness for upstream selection and for the jitter of retry delays
     */
    public GatewayDispatcher(String zone, Supplier<GatewayRetryBudget> retryBudgets, RandomGenerator random) {
        this.selector = new UpstreamSelector(zone, random);
        this.retryAfterPolicy = new RetryAfterPolicy(random);
        this.retryBudgets = retryBudgets;
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return actions for the shell to perform, in order
     */
    public List<GatewayAction> handle(GatewayEvent event, long nowNanos) {
        Step step = new Step(nowNanos);
        switch (event) {
            case GatewayEvent.RequestArrived a -> step.requestArrived(a.request());
            case GatewayEvent.CallerDisconnected d ->
                Optional.ofNullable(openById.get(d.request())).ifPresent(step::close);
            case GatewayEvent.ResponseProgress p -> step.responseProgress(p);
            case GatewayEvent.AttemptEnded e -> step.attemptEnded(e);
            case GatewayEvent.UpstreamsUpdated u -> registry.replaceAll(u.upstreams(), nowNanos);
            case GatewayEvent.SpeedReported s ->
                registry.find(s.upstream()).ifPresent(u -> step.speedReported(u, s.slowness()));
            case GatewayEvent.Tick t -> step.tick();
        }
        return step.actions;
    }

    /**
     * Returns the number of requests without a final outcome.
     *
     * @return number of open requests
     */
    public int openRequests() {
        return openById.size();
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service name of the service
     * @return state of each listed upstream
     */
    public List<UpstreamState> upstreams(String service) {
        return registry.ofService(service);
    }

    private GatewayRetryBudget retryBudget(String service) {
        return budgetByService.computeIfAbsent(service, s -> retryBudgets.get());
    }

    private AdmissionQueue queue(String service) {
        return queues.computeIfAbsent(service, s -> new AdmissionQueue());
    }

    private AdmissionQueue queue(OpenGatewayRequest o) {
        return queue(o.request.service());
    }

    /** Handles one event and collects the resulting actions. */
    private final class Step {
        private final long nowNanos;
        private final List<GatewayAction> actions = new ArrayList<>();

        private Step(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void requestArrived(GatewayRequest r) {
            retryBudget(r.service()).recordRequest(nowNanos);
            OpenGatewayRequest o = new OpenGatewayRequest(r);
            openById.put(r.id(), o);
            byDeadline.add(r);
            if (queue(o).tryAdmit(r, nowNanos)) {
                send(o, Reason.NO_UPSTREAM);
            } else {
                waitOrFail(o);
            }
        }

        /** Queues a request, or refuses it if it can't be sent before its caller stops waiting. */
        private void waitOrFail(OpenGatewayRequest o) {
            if (!queue(o).tryEnqueue(o, nowNanos)) {
                fail(o, Reason.NO_UPSTREAM);
            }
        }

        private void sendWaiting(AdmissionQueue queue) {
            for (OpenGatewayRequest o : queue.pollSendable(nowNanos)) {
                if (o.attemptCount == 0 || tryRetry(o)) {
                    send(o, Reason.NO_UPSTREAM);
                } else {
                    fail(o, Reason.NO_UPSTREAM);
                }
            }
        }

        /** Sends the next attempt, or fails the request with the given reason if no upstream accepts it. */
        private void send(OpenGatewayRequest o, Reason noUpstreamReason) {
            GatewayRequest r = o.request;
            Duration remaining = Duration.ofNanos(r.deadlineNanos() - nowNanos);
            if (remaining.compareTo(MIN_REMAINING) < 0) {
                fail(o, Reason.DEADLINE);
                return;
            }
            Optional<UpstreamState> chosen = selector.select(registry.ofService(r.service()), o.triedIds, nowNanos);
            if (chosen.isEmpty()) {
                fail(o, noUpstreamReason);
                return;
            }
            UpstreamState u = chosen.get();
            long number = nextAttemptNumber++;
            o.attempt = Optional.of(new OpenGatewayRequest.Attempt(number, u, nowNanos));
            o.triedIds.add(u.entry().id());
            o.attemptCount++;
            byAttempt.put(number, o);
            u.attemptSent();
            queue(o).recordSent(o.attempt.get(), r, nowNanos);
            actions.add(new GatewayAction.Send(r, number, u.entry(), remaining, r.admissionRank(nowNanos)));
        }

        private void responseProgress(GatewayEvent.ResponseProgress p) {
            OpenGatewayRequest o = byAttempt.get(p.attempt());
            if (o == null) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            if (o.isResponseStarted) {
                checkGap(o.request, nowNanos - a.progressNanos);
            }
            o.isResponseStarted |= p.isResponseStarted();
            a.progressNanos = nowNanos;
            a.upstream.recordProgress(nowNanos);
            recordResponse(a);
            if (o.isResponseStarted) {
                queue(o).recordSettled(a);
            }
            sendWaiting(queue(o));
        }

        /** Queries the speeds of all upstreams of a service if the gaps within its responses are too long. */
        private void checkGap(GatewayRequest r, long gapNanos) {
            SlownessDetector detector = detectorByService.computeIfAbsent(r.service(), s -> new SlownessDetector());
            detector.recordGap(gapNanos);
            List<UpstreamState> all = registry.ofService(r.service());
            boolean hasSlowUpstream = all.stream().anyMatch(UpstreamState::isSlow);
            if (r.route().targetGap().isPositive()
                    && detector.tryStartQuery(r.route().targetGap(), all.size(), hasSlowUpstream, nowNanos)) {
                actions.add(new GatewayAction.QuerySpeeds(
                        all.stream().map(UpstreamState::entry).toList()));
            }
        }

        /** Records the reported speed of an upstream and resumes its streams elsewhere if it became slow. */
        private void speedReported(UpstreamState u, double slowness) {
            boolean wasSlow = u.isSlow();
            u.recordReportedSlowness(slowness);
            if (wasSlow || !u.isSlow() || !canOthersTakeOver(u.entry().service())) {
                return;
            }
            for (OpenGatewayRequest o : List.copyOf(openById.values())) {
                boolean isAffected = o.attempt.isPresent() && o.attempt.get().upstream == u;
                if (isAffected && o.request.route().retrySafety() == Route.RetrySafety.RESUMABLE && canRetry(o)) {
                    retryElsewhere(o);
                }
            }
        }

        private boolean canOthersTakeOver(String service) {
            List<UpstreamState> all = registry.ofService(service);
            long slow = all.stream().filter(UpstreamState::isSlow).count();
            return slow <= Math.max(1, MAX_SLOW_FRACTION * all.size());
        }

        private void attemptEnded(GatewayEvent.AttemptEnded e) {
            OpenGatewayRequest o = byAttempt.remove(e.attempt());
            if (o == null) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            o.attempt = Optional.empty();
            a.upstream.attemptEnded();
            queue(o).recordSettled(a);
            recordOutcome(a, e.outcome());
            resolve(o, a, e.outcome());
            sendWaiting(queue(o));
        }

        private void recordResponse(OpenGatewayRequest.Attempt a) {
            String service = a.upstream.entry().service();
            if (queue(service).recordResponse(a.sentNanos, nowNanos)) {
                reportGroupState(service);
            }
        }

        private void reportGroupState(String service) {
            AdmissionQueue queue = queue(service);
            actions.add(new GatewayAction.GroupStateChanged(service, queue.isDown(), queue.size()));
        }

        private void recordOutcome(OpenGatewayRequest.Attempt a, AttemptOutcome outcome) {
            switch (outcome) {
                case AttemptOutcome.Completed c -> {
                    a.upstream.recordSuccess(millisSince(a.sentNanos), nowNanos);
                    recordResponse(a);
                }
                case AttemptOutcome.Failed f -> a.upstream.recordFailure(nowNanos);
                case AttemptOutcome.Broken b -> a.upstream.recordFailure(nowNanos);
                case AttemptOutcome.Unreached u -> a.upstream.recordUnreachable(nowNanos);
                case AttemptOutcome.Rejected r -> pause(a.upstream, r.cause());
            }
        }

        private void pause(UpstreamState u, AttemptOutcome.Rejected.Cause cause) {
            Duration duration = switch (cause) {
                case FULL -> QUEUE_FULL_PAUSE;
                case MISDIRECTED -> MISDIRECTED_PAUSE;
                case GROUP_BROKEN, UNACCEPTABLE -> Duration.ZERO;
            };
            u.pause(duration.toNanos(), nowNanos);
        }

        private void resolve(OpenGatewayRequest o, OpenGatewayRequest.Attempt a, AttemptOutcome outcome) {
            switch (outcome) {
                case AttemptOutcome.Completed c -> deliver(o, a);
                case AttemptOutcome.Failed f -> {
                    o.mayHaveRunReason = Optional.of(Reason.ANSWER_BROKEN);
                    if (o.request.route().isRetryable() && tryRetry(o)) {
                        send(o, Reason.ANSWER_BROKEN);
                    } else if (o.isResponseStarted) {
                        fail(o, Reason.ANSWER_BROKEN);
                    } else {
                        deliver(o, a);
                    }
                }
                case AttemptOutcome.Unreached u -> {
                    o.attemptCount--;
                    send(o, Reason.UPSTREAM_UNREACHABLE);
                }
                case AttemptOutcome.Rejected r
                when r.cause() == AttemptOutcome.Rejected.Cause.GROUP_BROKEN -> {
                    handleGroupBroken(o, a);
                }
                case AttemptOutcome.Rejected r -> retryOrFail(o, Reason.OVERLOADED);
                case AttemptOutcome.Broken b -> {
                    o.mayHaveRunReason = Optional.of(b.reason());
                    if (o.request.route().isRetryable() && !isStartedAndGroupDown(o)) {
                        retryOrFail(o, b.reason());
                    } else {
                        fail(o, b.reason());
                    }
                }
            }
        }

        /** Queues a request until its group recovers, or retries it if another group of the service responds. */
        private void handleGroupBroken(OpenGatewayRequest o, OpenGatewayRequest.Attempt a) {
            if (hasOtherActiveUpstream(o.request.service(), a.upstream)) {
                a.upstream.pause(OTHER_GROUP_PAUSE.toNanos(), nowNanos);
                retryOrFail(o, Reason.NO_UPSTREAM);
                return;
            }
            if (queue(o).recordGroupDown(nowNanos)) {
                reportGroupState(o.request.service());
            }
            waitOrFail(o);
        }

        private boolean hasOtherActiveUpstream(String service, UpstreamState except) {
            return registry.ofService(service).stream()
                    .anyMatch(u -> u != except && nowNanos - u.lastProgressNanos() < ACTIVITY_WINDOW.toNanos());
        }

        /** Returns whether the response has started and its group is down: the caller won't wait for a recovery. */
        private boolean isStartedAndGroupDown(OpenGatewayRequest o) {
            return o.isResponseStarted && queue(o).isDown();
        }

        private boolean canRetry(OpenGatewayRequest o) {
            return o.attemptCount < o.request.route().maxAttempts()
                    && nowNanos + MIN_REMAINING.toNanos() < o.request.deadlineNanos()
                    && selector.select(registry.ofService(o.request.service()), o.triedIds, nowNanos)
                            .isPresent();
        }

        private boolean tryRetry(OpenGatewayRequest o) {
            return canRetry(o) && retryBudget(o.request.service()).tryRetry(nowNanos);
        }

        private void retryOrFail(OpenGatewayRequest o, Reason reason) {
            if (tryRetry(o)) {
                send(o, reason);
            } else {
                fail(o, reason);
            }
        }

        private void deliver(OpenGatewayRequest o, OpenGatewayRequest.Attempt a) {
            close(o);
            actions.add(new GatewayAction.Deliver(o.request.id(), a.number));
        }

        private void fail(OpenGatewayRequest o, Reason reason) {
            close(o);
            Verdict verdict = o.mayHaveRunReason.isPresent()
                    ? new Verdict.MayHaveRun(reason == Reason.DEADLINE ? reason : o.mayHaveRunReason.get())
                    : new Verdict.NotRun(reason, retryAfterPolicy.retryAfter(reason, o.request, nowNanos));
            actions.add(
                    o.isResponseStarted
                            ? new GatewayAction.AbortResponse(o.request.id(), verdict)
                            : new GatewayAction.Refuse(o.request.id(), verdict));
        }

        private void close(OpenGatewayRequest o) {
            openById.remove(o.request.id());
            byDeadline.remove(o.request);
            queue(o).remove(o);
            o.attempt.ifPresent(a -> {
                byAttempt.remove(a.number);
                a.upstream.attemptEnded();
                queue(o).recordSettled(a);
                actions.add(new GatewayAction.Cancel(a.number));
            });
            o.attempt = Optional.empty();
        }

        private void tick() {
            while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
                expire(openById.get(byDeadline.first().id()));
            }
            for (OpenGatewayRequest o : List.copyOf(openById.values())) {
                if (isStalled(o)) {
                    o.attempt.get().upstream.recordFailure(nowNanos);
                    retryElsewhere(o);
                }
            }
            queues.values().forEach(this::tick);
        }

        private void tick(AdmissionQueue queue) {
            queue.pollOverdue(nowNanos).forEach(o -> fail(o, Reason.NO_UPSTREAM));
            sendWaiting(queue);
        }

        private void expire(OpenGatewayRequest o) {
            o.attempt.ifPresent(a -> o.mayHaveRunReason = Optional.of(Reason.DEADLINE));
            fail(o, Reason.DEADLINE);
        }

        /** Returns whether a retryable attempt makes no progress while others of its service do. */
        private boolean isStalled(OpenGatewayRequest o) {
            if (o.attempt.isEmpty() || !o.request.route().isRetryable() || !canRetry(o)) {
                return false;
            }
            OpenGatewayRequest.Attempt a = o.attempt.get();
            Duration timeout = o.request.route().streaming()
                    ? STREAM_STALL_TIMEOUT
                    : o.request.route().target().multipliedBy(STALL_TARGET_MULTIPLE);
            if (nowNanos - Math.max(a.progressNanos, a.upstream.lastProgressNanos()) < timeout.toNanos()) {
                return false;
            }
            return hasOtherActiveUpstream(o.request.service(), a.upstream);
        }

        private void retryElsewhere(OpenGatewayRequest o) {
            if (!retryBudget(o.request.service()).tryRetry(nowNanos)) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            byAttempt.remove(a.number);
            a.upstream.attemptEnded();
            queue(o).recordSettled(a);
            o.attempt = Optional.empty();
            o.mayHaveRunReason = Optional.of(Reason.CONNECTION_LOST);
            actions.add(new GatewayAction.Cancel(a.number));
            send(o, Reason.CONNECTION_LOST);
        }

        private double millisSince(long nanos) {
            return (nowNanos - nanos) / 1e6;
        }
    }
}
