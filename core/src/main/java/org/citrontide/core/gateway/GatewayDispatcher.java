package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
 *   <li>Each request ends in exactly one of {@link GatewayAction.DeliverResponse}, {@link GatewayAction.RefuseRequest}
 *       and {@link GatewayAction.AbortResponse}, unless its caller disconnected; no later action refers to it.
 *   <li>A request ends in {@link Verdict.NotRun} only if each of its attempts certainly did not run.
 *   <li>A request that must run at most once gets another attempt only if all earlier ones certainly did not run.
 *   <li>A response that has started ends as complete only with an attempt that continued it successfully.
 *   <li>A request reaches at most as many upstreams as its route allows, and retries stay within the retry budget.
 *   <li>No attempt is sent for a prompt with a quarantined part, nor a second one for a prompt that may have crashed an
 *       upstream and has a part that no upstream is known to have answered.
 * </ul>
 *
 * <p>Not thread-safe: confined to one thread. Does no I/O and reads no clock; the source of randomness is passed in.
 */
public final class GatewayDispatcher {
    // No upstream can respond within less time than this.
    private static final Duration MIN_REMAINING = Duration.ofMillis(20);
    // Pause for a member of a group that is down, while other groups of the service respond.
    private static final Duration OTHER_GROUP_PAUSE = Duration.ofSeconds(1);

    private final UpstreamRegistry registry = new UpstreamRegistry();
    private final UpstreamSelector selector;
    private final RetryAfterPolicy retryAfterPolicy;
    private final ServiceStates services;
    private final SpeedMonitor speedMonitor = new SpeedMonitor();
    private final CrashGuard crashGuard = new CrashGuard();
    private final GroupHealth groupHealth = new GroupHealth();
    private final Map<Long, OpenGatewayRequest> openById = new HashMap<>();
    private final Map<Long, OpenGatewayRequest> byAttempt = new HashMap<>();
    private final TreeSet<GatewayRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(GatewayRequest::deadlineNanos).thenComparingLong(GatewayRequest::id));
    private long nextAttemptNumber = 1;

    /**
     * Creates a dispatcher without upstreams.
     *
     * @param zone the gateway's availability zone
     * @param retryBudgetFactory factory of the retry budget of each service
     * @param random source of randomness for upstream selection and for the jitter of retry delays
     */
    public GatewayDispatcher(String zone, Supplier<GatewayRetryBudget> retryBudgetFactory, RandomGenerator random) {
        this.selector = new UpstreamSelector(zone, random);
        this.retryAfterPolicy = new RetryAfterPolicy(random);
        this.services = new ServiceStates(retryBudgetFactory);
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return actions for the shell to perform, in order
     */
    public List<GatewayAction> handle(GatewayEvent event, long nowNanos) {
        EventHandler handler = new EventHandler(nowNanos);
        switch (event) {
            case GatewayEvent.RequestArrived a -> handler.handleRequestArrived(a.request());
            case GatewayEvent.CallerDisconnected d ->
                Optional.ofNullable(openById.get(d.request())).ifPresent(handler::close);
            case GatewayEvent.ResponseProgress p -> handler.handleResponseProgress(p);
            case GatewayEvent.ReadingPaused p ->
                Optional.ofNullable(byAttempt.get(p.attempt()))
                        .ifPresent(open -> open.attempt.orElseThrow().setPaused(p.isPaused(), nowNanos));
            case GatewayEvent.AttemptEnded e -> handler.handleAttemptEnded(e);
            case GatewayEvent.UpstreamsUpdated u -> registry.replaceAll(u.upstreams(), nowNanos);
            case GatewayEvent.ReportReceived r ->
                registry.find(r.upstream()).ifPresent(u -> handler.handleReport(u, r));
            case GatewayEvent.GroupsUpdated g -> groupHealth.setGroups(g.groupByUpstream());
            case GatewayEvent.HeadReceived h -> handler.handleHeadReceived(h);
            case GatewayEvent.SlotsUpdated u -> selector.setSlots(u.slots());
            case GatewayEvent.UpstreamChecked c -> handler.handleUpstreamChecked(c);
            case GatewayEvent.CrashEvidenceUpdated c -> handler.handleCrashEvidence(c);
            case GatewayEvent.Tick t -> handler.tick();
        }
        return handler.actions;
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
     * Returns the retry budgets.
     *
     * @param nowNanos monotonic time in ns
     * @return state of the budget by service
     */
    public Map<String, RetryBudgetState> retryBudgets(long nowNanos) {
        return services.retryBudgets(nowNanos);
    }

    private AdmissionQueue queue(OpenGatewayRequest open) {
        return services.of(open).queue;
    }

    /** Handles one event and collects the resulting actions. */
    private final class EventHandler {
        private final long nowNanos;
        private final List<GatewayAction> actions = new ArrayList<>();

        private EventHandler(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void handleRequestArrived(GatewayRequest request) {
            services.of(request.service()).retryBudget.recordRequest(nowNanos);
            OpenGatewayRequest open = new OpenGatewayRequest(request);
            openById.put(request.id(), open);
            byDeadline.add(request);
            if (tryRefuseQuarantined(open)) {
                return;
            }
            if (queue(open).tryAdmit(request, nowNanos)) {
                send(open, Reason.NO_UPSTREAM);
            } else {
                waitOrFail(open);
            }
        }

        /** Queues a request, or refuses it if it can't be sent before its caller stops waiting. */
        private void waitOrFail(OpenGatewayRequest open) {
            if (services.of(open).isWaitFutile(open, nowNanos) || !queue(open).tryEnqueue(open, nowNanos)) {
                fail(open, queue(open).waitReason(nowNanos));
            }
        }

        /** Queues a request that only rate limits keep from all upstreams, and fails any other. */
        private void waitForRateLimit(OpenGatewayRequest open, Reason noUpstreamReason) {
            OptionalLong openNanos =
                    selector.nextOpenNanos(registry.ofService(open.request.service()), open.triedIds, nowNanos);
            if (open.attemptCount > 0 || openNanos.isEmpty()) {
                fail(open, noUpstreamReason);
                return;
            }
            queue(open).blockUntil(openNanos.getAsLong());
            waitOrFail(open);
        }

        private void sendWaiting(AdmissionQueue queue) {
            for (OpenGatewayRequest open : queue.pollSendable(nowNanos)) {
                if (open.attemptCount == 0 || tryRetry(open, Reason.NO_UPSTREAM)) {
                    send(open, Reason.NO_UPSTREAM);
                } else {
                    fail(open, Reason.NO_UPSTREAM);
                }
            }
        }

        /** Sends the next attempt, or fails the request with the given reason if no upstream accepts it. */
        private void send(OpenGatewayRequest open, Reason noUpstreamReason) {
            GatewayRequest request = open.request;
            Duration remaining = Duration.ofNanos(request.deadlineNanos() - nowNanos);
            if (remaining.compareTo(MIN_REMAINING) < 0) {
                fail(open, Reason.DEADLINE);
                return;
            }
            if (tryRefuseQuarantined(open)) {
                return;
            }
            Optional<UpstreamState> chosen = select(open);
            if (chosen.isEmpty()) {
                waitForRateLimit(open, noUpstreamReason);
                return;
            }
            UpstreamState upstream = chosen.get();
            long number = nextAttemptNumber++;
            open.attempt = Optional.of(new OpenGatewayRequest.Attempt(number, upstream, nowNanos));
            open.triedIds.add(upstream.entry().id());
            open.attemptCount++;
            byAttempt.put(number, open);
            upstream.recordAttemptSent(selector.slots(), nowNanos);
            queue(open).recordSent(open.attempt.get(), request, nowNanos);
            actions.add(open.sendAction(remaining, nowNanos));
        }

        private void handleHeadReceived(GatewayEvent.HeadReceived head) {
            OpenGatewayRequest open = byAttempt.get(head.attempt());
            if (open == null) {
                return;
            }
            OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
            if (attempt.upstream.recordRateLimit(head.limitPerSecond(), attempt.sentNanos, nowNanos)) {
                actions.add(new GatewayAction.ReportRateLimit(attempt.upstream.entry(), head.limitPerSecond()));
            }
        }

        private void handleResponseProgress(GatewayEvent.ResponseProgress progress) {
            OpenGatewayRequest open = byAttempt.get(progress.attempt());
            if (open == null) {
                return;
            }
            OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
            if (open.isResponseStarted) {
                checkGap(open.request, nowNanos - attempt.progressNanos);
            }
            if (!attempt.isStarted && progress.isResponseStarted()) {
                attempt.isStarted = true;
                attempt.upstream.recordStarted();
                attempt.startedNanos = nowNanos;
                services.of(open).stallDetector.recordFirstEvent(nowNanos - attempt.sentNanos);
            }
            crashGuard.recordProgress(open.request, attempt, nowNanos, actions);
            open.isResponseStarted |= progress.isResponseStarted();
            attempt.progressNanos = nowNanos;
            attempt.upstream.recordProgress(nowNanos);
            recordResponse(attempt);
            if (open.isResponseStarted) {
                queue(open).recordSettled(attempt);
            }
            sendWaiting(queue(open));
        }

        /** Queries the speeds of all upstreams of a service if the gaps within its responses are too long. */
        private void checkGap(GatewayRequest request, long gapNanos) {
            List<UpstreamState> all = registry.ofService(request.service());
            if (speedMonitor.recordGap(request, gapNanos, all, nowNanos)) {
                actions.add(new GatewayAction.QuerySpeeds(
                        all.stream().map(UpstreamState::entry).toList()));
            }
        }

        /** Records the reported state of an upstream and resumes its streams elsewhere if it became slow. */
        private void handleReport(UpstreamState upstream, GatewayEvent.ReportReceived report) {
            groupHealth.recordReport(upstream, report.isGroupOpen(), nowNanos);
            List<UpstreamState> all = registry.ofService(upstream.entry().service());
            if (!speedMonitor.recordSlowness(upstream, report.slowness(), all)) {
                return;
            }
            for (OpenGatewayRequest open : List.copyOf(openById.values())) {
                boolean isAffected = open.attempt.isPresent() && open.attempt.get().upstream == upstream;
                if (isAffected && open.request.route().retrySafety() == Route.RetrySafety.RESUMABLE && canRetry(open)) {
                    retryElsewhere(open);
                }
            }
        }

        /** Ends the requests that waited for the check of an upstream if it crashed, and resumes them otherwise. */
        private void handleUpstreamChecked(GatewayEvent.UpstreamChecked check) {
            boolean isCrash = crashGuard.recordCheck(check, actions);
            Optional<String> key = Optional.of(check.upstream().instanceKey());
            for (OpenGatewayRequest open : List.copyOf(openById.values())) {
                if (!open.awaitedCheck.equals(key)) {
                    continue;
                }
                open.awaitedCheck = Optional.empty();
                Reason reason = open.mayHaveRunReason.orElseThrow();
                if (isCrash) {
                    fail(open, reason);
                } else {
                    resolveBroken(open, reason);
                }
            }
        }

        /** Takes over the evidence of all gateways and ends the requests that must not reach an upstream. */
        private void handleCrashEvidence(GatewayEvent.CrashEvidenceUpdated evidence) {
            crashGuard.replaceEvidence(evidence, nowNanos, actions);
            for (OpenGatewayRequest open : List.copyOf(openById.values())) {
                if (open.attempt.isEmpty() || !open.attempt.get().isStarted) {
                    tryRefuseQuarantined(open);
                }
            }
        }

        /** Ends a request whose prompt has a quarantined part; returns whether it has one. */
        private boolean tryRefuseQuarantined(OpenGatewayRequest open) {
            Optional<Verdict.NotRun> refusal = crashGuard.findRefusal(open.request, nowNanos);
            if (refusal.isPresent() && open.attempt.isPresent()) {
                open.mayHaveRunReason = Optional.of(Reason.PROMPT_QUARANTINED);
            }
            refusal.ifPresent(r -> end(open, r));
            return refusal.isPresent();
        }

        private void handleAttemptEnded(GatewayEvent.AttemptEnded ended) {
            OpenGatewayRequest open = byAttempt.get(ended.attempt());
            if (open == null) {
                return;
            }
            OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
            release(open, attempt);
            AttemptOutcome outcome = open.effectiveOutcome(attempt, ended.outcome());
            recordOutcome(open, attempt, outcome);
            resolve(open, attempt, outcome);
            sendWaiting(queue(open));
        }

        private void recordResponse(OpenGatewayRequest.Attempt attempt) {
            groupHealth.recordResponse(attempt.upstream, attempt.sentNanos);
            String service = attempt.upstream.entry().service();
            if (services.of(service).queue.recordResponse(attempt.sentNanos, nowNanos)) {
                reportGroupState(service);
            }
        }

        private void reportGroupState(String service) {
            AdmissionQueue queue = services.of(service).queue;
            actions.add(new GatewayAction.ReportGroupState(service, queue.isDown(), queue.size()));
        }

        private void recordOutcome(
                OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt, AttemptOutcome outcome) {
            attempt.upstream.recordOutcome(outcome, attempt.sentNanos, nowNanos);
            if (outcome instanceof AttemptOutcome.Completed c) {
                if (c.isSuccess()) {
                    crashGuard.recordAnswer(open.request, attempt, nowNanos, actions);
                }
                recordResponse(attempt);
            }
        }

        private void resolve(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt, AttemptOutcome outcome) {
            switch (outcome) {
                case AttemptOutcome.Completed c -> deliver(open, attempt);
                case AttemptOutcome.Failed f -> {
                    open.mayHaveRunReason = Optional.of(Reason.ANSWER_BROKEN);
                    if (open.request.route().isRetryable() && tryRetry(open, Reason.ANSWER_BROKEN)) {
                        send(open, Reason.ANSWER_BROKEN);
                    } else if (open.isResponseStarted) {
                        fail(open, Reason.ANSWER_BROKEN);
                    } else {
                        deliver(open, attempt);
                    }
                }
                case AttemptOutcome.Unreached u -> {
                    open.attemptCount--;
                    send(open, Reason.UPSTREAM_UNREACHABLE);
                }
                case AttemptOutcome.Rejected r
                when r.cause() == AttemptOutcome.Rejected.Cause.GROUP_BROKEN -> {
                    handleGroupBroken(open, attempt);
                }
                case AttemptOutcome.Rejected r -> retryOrFail(open, Reason.OVERLOADED);
                case AttemptOutcome.Broken b -> {
                    open.mayHaveRunReason = Optional.of(b.reason());
                    if (!crashGuard.recordLoss(open, attempt, nowNanos, actions)) {
                        resolveBroken(open, b.reason());
                    }
                }
            }
        }

        private void resolveBroken(OpenGatewayRequest open, Reason reason) {
            // A caller whose response has started doesn't wait until its group recovers.
            boolean isWaitFutile = open.isResponseStarted && queue(open).isDown();
            if (open.request.route().isRetryable() && !isWaitFutile) {
                retryOrFail(open, reason);
            } else {
                fail(open, reason);
            }
        }

        /** Queues a request until its group recovers, or retries it if another group of the service responds. */
        private void handleGroupBroken(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt) {
            UpstreamState member = attempt.upstream;
            List<UpstreamState> all = registry.ofService(open.request.service());
            if (groupHealth.isGroupActive(member, all, nowNanos)) {
                member.pause(OTHER_GROUP_PAUSE.toNanos(), nowNanos);
                retryOrFail(open, Reason.NO_UPSTREAM);
                return;
            }
            groupHealth.recordRejection(member, nowNanos);
            if (groupHealth.hasOtherGroup(member, all, nowNanos)) {
                retryOrFail(open, Reason.NO_UPSTREAM);
                return;
            }
            if (queue(open).recordGroupDown(nowNanos)) {
                reportGroupState(open.request.service());
            }
            waitOrFail(open);
        }

        private boolean canRetry(OpenGatewayRequest open) {
            return open.attemptCount < open.request.route().maxAttempts()
                    && nowNanos + MIN_REMAINING.toNanos() < open.request.deadlineNanos()
                    && select(open).isPresent();
        }

        private Optional<UpstreamState> select(OpenGatewayRequest open) {
            List<UpstreamState> all = registry.ofService(open.request.service());
            return selector.select(groupHealth.selectable(all, nowNanos), open.triedIds, nowNanos);
        }

        private boolean tryRetry(OpenGatewayRequest open, Reason reason) {
            return canRetry(open) && services.of(open).trySpendRetry(open, reason, nowNanos, actions);
        }

        private void retryOrFail(OpenGatewayRequest open, Reason reason) {
            if (tryRetry(open, reason)) {
                send(open, reason);
            } else {
                fail(open, reason);
            }
        }

        private void deliver(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt) {
            close(open);
            actions.add(new GatewayAction.DeliverResponse(open.request.id(), attempt.number));
        }

        private void fail(OpenGatewayRequest open, Reason reason) {
            end(open, new Verdict.NotRun(reason, retryAfterPolicy.retryAfter(reason, open.request, nowNanos)));
        }

        /** Ends a request with the given verdict, or with one that says so if an earlier attempt may have run. */
        private void end(OpenGatewayRequest open, Verdict.NotRun notRun) {
            close(open);
            actions.add(open.endAction(notRun));
        }

        private void close(OpenGatewayRequest open) {
            openById.remove(open.request.id());
            byDeadline.remove(open.request);
            queue(open).remove(open);
            open.attempt.ifPresent(attempt -> {
                release(open, attempt);
                actions.add(new GatewayAction.CancelAttempt(attempt.number));
            });
        }

        private void release(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt) {
            byAttempt.remove(attempt.number);
            open.attempt = Optional.empty();
            attempt.upstream.recordAttemptEnded(attempt.isStarted);
            queue(open).recordSettled(attempt);
        }

        private void tick() {
            while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
                OpenGatewayRequest expired = openById.get(byDeadline.first().id());
                expired.attempt.ifPresent(attempt -> expired.mayHaveRunReason = Optional.of(Reason.DEADLINE));
                fail(expired, Reason.DEADLINE);
            }
            for (OpenGatewayRequest open : List.copyOf(openById.values())) {
                if (isStalled(open)) {
                    open.attempt.get().upstream.recordFailure(nowNanos);
                    retryElsewhere(open);
                }
            }
            services.all().forEach(s -> tick(s.queue));
            actions.addAll(groupHealth.tick(registry, nowNanos));
            crashGuard.tick(nowNanos, actions);
        }

        private void tick(AdmissionQueue queue) {
            queue.pollOverdue(nowNanos).forEach(open -> fail(open, queue.waitReason(nowNanos)));
            sendWaiting(queue);
        }

        /** Returns whether a retryable attempt makes no progress while others of its service do. */
        private boolean isStalled(OpenGatewayRequest open) {
            if (open.attempt.isEmpty() || !open.request.route().isRetryable() || !canRetry(open)) {
                return false;
            }
            OpenGatewayRequest.Attempt attempt = open.attempt.get();
            return services.of(open).isSilentForTooLong(open.request.route(), attempt, nowNanos)
                    && registry.hasOtherActive(attempt.upstream, nowNanos);
        }

        private void retryElsewhere(OpenGatewayRequest open) {
            if (!services.of(open).trySpendRetry(open, Reason.CONNECTION_LOST, nowNanos, actions)) {
                return;
            }
            OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
            release(open, attempt);
            open.mayHaveRunReason = Optional.of(Reason.CONNECTION_LOST);
            actions.add(new GatewayAction.CancelAttempt(attempt.number));
            send(open, Reason.CONNECTION_LOST);
        }
    }
}
