package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.routes.Route;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.core.warmup.ColdChange;

/**
 * Handles one event of a {@link GatewayDispatcher} and collects the resulting actions.
 *
 * <p>Invariant: it serves for a single event, and keeps nothing but the actions beyond the shared state. Not
 * thread-safe: confined to the dispatcher's thread.
 */
final class DispatchHandler {
    // No upstream can respond within less time than this.
    private static final Duration MIN_REMAINING = Duration.ofMillis(20);
    // Pause for a member of a group that is down, while other groups of the service respond.
    private static final Duration OTHER_GROUP_PAUSE = Duration.ofSeconds(1);

    private final DispatchState state;
    private final long nowNanos;
    private final List<GatewayAction> actions = new ArrayList<>();
    private final ColdTurnQueue coldTurns;

    DispatchHandler(DispatchState state, long nowNanos) {
        this.state = state;
        this.nowNanos = nowNanos;
        this.coldTurns = new ColdTurnQueue(state, nowNanos, actions);
    }

    /** Returns the actions collected so far, in order. */
    List<GatewayAction> actions() {
        return actions;
    }

    void handleRequestArrived(GatewayRequest request) {
        state.services.of(request.service()).retryBudget.recordRequest(nowNanos);
        OpenGatewayRequest open = new OpenGatewayRequest(request);
        state.openById.put(request.id(), open);
        state.byDeadline.add(request);
        if (tryRefuseQuarantined(open)) {
            return;
        }
        if (state.placement.isExcluded(open)) {
            fail(open, Reason.NO_UPSTREAM);
        } else if (queue(open).tryAdmit(request, nowNanos)) {
            send(open, Reason.NO_UPSTREAM);
        } else if (queue(open).isDown()
                || !coldTurns.recordHeldBack(open)
                || !tryRefuseHeldBack(open, state.placement.nextOpenNanos(open, nowNanos))) {
            waitOrFail(open);
        }
    }

    /** Queues a request, or refuses it if it can't be sent before its caller stops waiting. */
    private void waitOrFail(OpenGatewayRequest open) {
        if (state.services.of(open).isWaitFutile(open, nowNanos) || !queue(open).tryEnqueue(open, nowNanos)) {
            fail(open, queue(open).waitReason(nowNanos));
        }
    }

    /** Queues a request that only rate limits keep from all upstreams, and fails any other. */
    private void waitForRateLimit(OpenGatewayRequest open, Reason noUpstreamReason) {
        OptionalLong openNanos = state.placement.nextOpenNanos(open, nowNanos);
        boolean isHeldBack = coldTurns.recordHeldBack(open);
        if (open.attemptCount > 0 && coldTurns.tryQueue(open)) {
            return;
        }
        if (open.attemptCount > 0 || openNanos.isEmpty()) {
            fail(open, noUpstreamReason);
            return;
        }
        if (isHeldBack && tryRefuseHeldBack(open, openNanos)) {
            return;
        }
        // The upstreams of other regions may be open to the other requests of the service.
        if (open.request.isRegional()) {
            open.notBeforeNanos = openNanos.getAsLong();
        } else {
            queue(open).blockUntil(openNanos.getAsLong());
        }
        waitOrFail(open);
    }

    /** Refuses a request whose turn at a cold upstream comes too late; returns whether it does. */
    private boolean tryRefuseHeldBack(OpenGatewayRequest open, OptionalLong openNanos) {
        Optional<Verdict.NotRun> refusal = coldTurns.findRefusal(open, openNanos);
        refusal.ifPresent(r -> end(open, r));
        return refusal.isPresent();
    }

    void handleUpstreams(List<ListedUpstream> upstreams) {
        state.replaceUpstreams(upstreams, nowNanos);
        state.coldUpstreams.updateEntries(upstreams, nowNanos);
        if (state.coldUpstreams.hasRules() || state.registry.hasBackoffs()) {
            // An upstream that is new may take the requests that wait for another one.
            state.services.all().forEach(s -> s.queue.unblock());
        }
        if (state.placement.isAnyZoneEvacuated()) {
            refuseExcluded();
        }
    }

    /** Refuses the requests without an attempt to which the evacuated zones leave no upstream. */
    private void refuseExcluded() {
        for (OpenGatewayRequest open : List.copyOf(state.openById.values())) {
            if (open.attempt.isEmpty() && open.awaitedCheck.isEmpty() && state.placement.isExcluded(open)) {
                fail(open, Reason.NO_UPSTREAM);
            }
        }
    }

    private void sendWaiting(AdmissionQueue queue) {
        for (OpenGatewayRequest open : queue.pollSendable(nowNanos)) {
            if (open.attemptCount == 0 || tryRetry(open, Reason.NO_UPSTREAM)) {
                send(open, Reason.NO_UPSTREAM);
            } else if (!coldTurns.tryQueue(open)) {
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
        Optional<UpstreamState> chosen = state.placement.select(open, nowNanos);
        if (chosen.isEmpty()) {
            waitForRateLimit(open, noUpstreamReason);
            return;
        }
        UpstreamState upstream = chosen.get();
        long number = state.nextAttemptNumber++;
        open.attempt = Optional.of(new OpenGatewayRequest.Attempt(number, upstream, nowNanos));
        open.triedIds.add(upstream.entry().id());
        open.attemptCount++;
        state.byAttempt.put(number, open);
        state.placement.recordSent(open, nowNanos);
        queue(open).recordSent(open.attempt.get(), request, nowNanos);
        actions.add(open.sendAction(remaining, nowNanos));
    }

    void handleHeadReceived(GatewayEvent.HeadReceived head) {
        OpenGatewayRequest open = state.byAttempt.get(head.attempt());
        if (open == null) {
            return;
        }
        OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
        if (attempt.upstream.recordRateLimit(head.limitPerSecond(), attempt.sentNanos, nowNanos)) {
            actions.add(new GatewayAction.ReportRateLimit(attempt.upstream.entry(), head.limitPerSecond()));
        }
    }

    void handleResponseProgress(GatewayEvent.ResponseProgress progress) {
        OpenGatewayRequest open = state.byAttempt.get(progress.attempt());
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
            state.services.of(open).stallDetector.recordFirstEvent(nowNanos - attempt.sentNanos);
        }
        state.crashGuard.recordProgress(open.request, attempt, nowNanos, actions);
        open.isResponseStarted |= progress.isResponseStarted();
        attempt.progressNanos = nowNanos;
        state.placement.recordProgress(open, nowNanos);
        recordResponse(attempt);
        if (open.isResponseStarted) {
            queue(open).recordSettled(attempt);
        }
        sendWaiting(queue(open));
    }

    /** Queries the speeds of all upstreams of a service if the gaps within its responses are too long. */
    private void checkGap(GatewayRequest request, long gapNanos) {
        List<UpstreamState> all = state.registry.ofService(request.service());
        if (state.speedMonitor.recordGap(request, gapNanos, all, nowNanos)) {
            actions.add(new GatewayAction.QuerySpeeds(all.stream()
                    .filter(u -> !u.isBackedOff(nowNanos))
                    .map(UpstreamState::entry)
                    .toList()));
        }
    }

    /** Records the reported state of an upstream and resumes its streams elsewhere if it became slow. */
    void handleReport(UpstreamState upstream, GatewayEvent.ReportReceived report) {
        state.groupHealth.recordReport(upstream, report.isGroupOpen(), nowNanos);
        List<UpstreamState> all = state.registry.ofService(upstream.entry().service());
        if (!state.speedMonitor.recordSlowness(upstream, report.slowness(), all)) {
            return;
        }
        for (OpenGatewayRequest open : List.copyOf(state.openById.values())) {
            boolean isAffected = open.attempt.isPresent() && open.attempt.get().upstream == upstream;
            if (isAffected && open.request.route().retrySafety() == Route.RetrySafety.RESUMABLE && canRetry(open)) {
                retryElsewhere(open);
            }
        }
    }

    /** Ends the requests that waited for the check of an upstream if it crashed, and resumes them otherwise. */
    void handleUpstreamChecked(GatewayEvent.UpstreamChecked check) {
        boolean isCrash = state.crashGuard.recordCheck(check, actions);
        Optional<String> key = Optional.of(check.upstream().instanceKey());
        for (OpenGatewayRequest open : List.copyOf(state.openById.values())) {
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
    void handleCrashEvidence(GatewayEvent.CrashEvidenceUpdated evidence) {
        state.crashGuard.replaceEvidence(evidence, nowNanos, actions);
        for (OpenGatewayRequest open : List.copyOf(state.openById.values())) {
            if (open.attempt.isEmpty() || !open.attempt.get().isStarted) {
                tryRefuseQuarantined(open);
            }
        }
    }

    /** Withdraws the unsent attempts in evacuated zones, and ends the waiting requests that have no upstream left. */
    void handleEvacuatedZones(Set<String> zones) {
        state.placement.setEvacuatedZones(zones);
        withdrawUnsent(state.placement::isInEvacuatedZone);
        refuseExcluded();
    }

    /** Leaves an upstream alone that has asked for it; what has not been written to it is sent elsewhere. */
    void handleBackoff(GatewayEvent.BackoffRequested requested) {
        if (state.registry.recordBackoff(requested.upstream(), requested.duration(), nowNanos)) {
            actions.add(new GatewayAction.ReportBackoff(requested.upstream(), requested.duration()));
            withdrawUnsent(u -> u.isBackedOff(nowNanos));
        }
    }

    private void withdrawUnsent(Predicate<UpstreamState> isAffected) {
        for (OpenGatewayRequest open : List.copyOf(state.openById.values())) {
            open.attempt
                    .filter(attempt -> !attempt.isStarted && isAffected.test(attempt.upstream))
                    .ifPresent(attempt -> actions.add(new GatewayAction.WithdrawAttempt(attempt.number)));
        }
    }

    /** Ends a request whose prompt has a quarantined part; returns whether it has one. */
    private boolean tryRefuseQuarantined(OpenGatewayRequest open) {
        Optional<Verdict.NotRun> refusal = state.crashGuard.findRefusal(open.request, nowNanos);
        if (refusal.isPresent() && open.attempt.isPresent()) {
            open.mayHaveRunReason = Optional.of(Reason.PROMPT_QUARANTINED);
        }
        refusal.ifPresent(r -> end(open, r));
        return refusal.isPresent();
    }

    void handleAttemptEnded(GatewayEvent.AttemptEnded ended) {
        OpenGatewayRequest open = state.byAttempt.get(ended.attempt());
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
        state.groupHealth.recordResponse(attempt.upstream, attempt.sentNanos);
        String service = attempt.upstream.entry().service();
        if (state.services.of(service).queue.recordResponse(attempt.sentNanos, nowNanos)) {
            reportGroupState(service);
        }
    }

    private void reportGroupState(String service) {
        AdmissionQueue queue = state.services.of(service).queue;
        actions.add(new GatewayAction.ReportGroupState(
                service, queue.isDown(), queue.size(), queue.expectedOutage(nowNanos)));
    }

    private void recordOutcome(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt, AttemptOutcome outcome) {
        state.placement.recordOutcome(open, attempt, outcome, nowNanos);
        if (outcome instanceof AttemptOutcome.Completed c) {
            if (c.isSuccess()) {
                state.crashGuard.recordAnswer(open.request, attempt, nowNanos, actions);
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
            case AttemptOutcome.Withdrawn w -> {
                open.attemptCount--;
                open.triedIds.remove(attempt.upstream.entry().id());
                send(open, Reason.NO_UPSTREAM);
            }
            case AttemptOutcome.Rejected r
            when r.cause() == AttemptOutcome.Rejected.Cause.GROUP_BROKEN -> {
                handleGroupBroken(open, attempt);
            }
            case AttemptOutcome.Rejected r -> retryOrFail(open, Reason.OVERLOADED);
            case AttemptOutcome.Broken b -> {
                open.mayHaveRunReason = Optional.of(b.reason());
                if (!state.crashGuard.recordLoss(open, attempt, nowNanos, actions)) {
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
        List<UpstreamState> all = state.registry.ofService(open.request.service());
        if (state.groupHealth.isGroupActive(member, all, nowNanos)) {
            member.pause(OTHER_GROUP_PAUSE.toNanos(), nowNanos);
            retryOrFail(open, Reason.NO_UPSTREAM);
            return;
        }
        state.groupHealth.recordRejection(member, nowNanos);
        if (state.groupHealth.hasOtherGroup(member, state.placement.eligible(open), all, nowNanos)) {
            retryOrFail(open, Reason.NO_UPSTREAM);
            return;
        }
        if (queue(open).recordGroupDown(nowNanos)) {
            reportGroupState(open.request.service());
        }
        if (state.placement.isExcluded(open)) {
            fail(open, Reason.NO_UPSTREAM);
            return;
        }
        waitOrFail(open);
    }

    private boolean canRetry(OpenGatewayRequest open) {
        return open.attemptCount < open.request.route().maxAttempts()
                && nowNanos + MIN_REMAINING.toNanos() < open.request.deadlineNanos()
                && state.placement.select(open, nowNanos).isPresent();
    }

    private boolean tryRetry(OpenGatewayRequest open, Reason reason) {
        return canRetry(open) && state.services.of(open).trySpendRetry(open, reason, nowNanos, actions);
    }

    private void retryOrFail(OpenGatewayRequest open, Reason reason) {
        if (tryRetry(open, reason)) {
            send(open, reason);
        } else if (!coldTurns.tryQueue(open)) {
            fail(open, reason);
        }
    }

    private void deliver(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt) {
        close(open);
        actions.add(new GatewayAction.DeliverResponse(open.request.id(), attempt.number));
    }

    private void fail(OpenGatewayRequest open, Reason reason) {
        end(open, new Verdict.NotRun(reason, state.retryAfter(open, reason, nowNanos)));
    }

    /** Ends a request with the given verdict, or with one that says so if an earlier attempt may have run. */
    private void end(OpenGatewayRequest open, Verdict.NotRun notRun) {
        close(open);
        actions.add(open.endAction(notRun));
    }

    void close(OpenGatewayRequest open) {
        state.openById.remove(open.request.id());
        state.byDeadline.remove(open.request);
        queue(open).remove(open);
        open.attempt.ifPresent(attempt -> {
            release(open, attempt);
            actions.add(new GatewayAction.CancelAttempt(attempt.number));
        });
    }

    private void release(OpenGatewayRequest open, OpenGatewayRequest.Attempt attempt) {
        state.byAttempt.remove(attempt.number);
        open.attempt = Optional.empty();
        state.placement.recordEnded(open, attempt);
        queue(open).recordSettled(attempt);
    }

    void tick() {
        while (!state.byDeadline.isEmpty() && state.byDeadline.first().deadlineNanos() <= nowNanos) {
            OpenGatewayRequest expired =
                    state.openById.get(state.byDeadline.first().id());
            expired.attempt.ifPresent(attempt -> expired.mayHaveRunReason = Optional.of(Reason.DEADLINE));
            fail(expired, Reason.DEADLINE);
        }
        for (OpenGatewayRequest open : List.copyOf(state.openById.values())) {
            if (isStalled(open)) {
                open.attempt.get().upstream.recordFailure(nowNanos);
                retryElsewhere(open);
            }
        }
        List<ColdChange> coldChanges = state.coldUpstreams.pollChanges(nowNanos);
        if (!coldChanges.isEmpty()) {
            coldChanges.forEach(change -> actions.add(new GatewayAction.ReportCold(change)));
            state.services.all().forEach(s -> s.queue.unblock());
        }
        state.services.all().forEach(s -> tick(s.queue));
        actions.addAll(state.groupHealth.tick(state.registry, nowNanos));
        actions.addAll(state.placement.pollReports());
        state.crashGuard.tick(nowNanos, actions);
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
        return state.services.of(open).isSilentForTooLong(open.request.route(), attempt, nowNanos)
                && state.registry.hasOtherActive(attempt.upstream, nowNanos);
    }

    private void retryElsewhere(OpenGatewayRequest open) {
        if (!state.services.of(open).trySpendRetry(open, Reason.CONNECTION_LOST, nowNanos, actions)) {
            return;
        }
        OpenGatewayRequest.Attempt attempt = open.attempt.orElseThrow();
        release(open, attempt);
        open.mayHaveRunReason = Optional.of(Reason.CONNECTION_LOST);
        actions.add(new GatewayAction.CancelAttempt(attempt.number));
        send(open, Reason.CONNECTION_LOST);
    }

    private AdmissionQueue queue(OpenGatewayRequest open) {
        return state.services.of(open).queue;
    }
}
