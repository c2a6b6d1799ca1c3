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

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Carries every request of one gateway from its arrival to its one final answer.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each request ends in exactly one of {@link GatewayAction.Deliver}, {@link GatewayAction.Refuse} and {@link
 *       GatewayAction.BreakOff}, unless its caller left; no action names it afterwards.
 *   <li>A request ends in {@link Verdict.NotRun} only if each of its attempts certainly did not run.
 *   <li>A request that must run once at most has a second attempt only after one that certainly did not run.
 *   <li>A request reaches at most as many upstreams as its route allows, and repeats stay in the allowance.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O and reads no clock; its randomness is passed in.
 */
public final class GatewayDispatcher {
    // An attempt with less time than this can't be answered.
    private static final Duration LEAST_REMAINING = Duration.ofMillis(20);
    // Time after which a full upstream is asked again: about one answer of a plain service.
    private static final Duration FULL_PAUSE = Duration.ofMillis(60);
    // An address that belongs to another upstream stays so until the list says otherwise.
    private static final Duration MISDIRECTED_PAUSE = Duration.ofSeconds(5);
    // A stream without bytes for this long, while others of its service go on, is taken for lost.
    private static final Duration SILENCE = Duration.ofMillis(900);
    private static final Duration RECENT = Duration.ofMillis(300);
    // A plain idempotent request is sent elsewhere after this many times its target.
    private static final int SLOW_ANSWER_TARGETS = 3;

    private final GatewayDirectory directory = new GatewayDirectory();
    private final UpstreamChoice choice;
    private final RetryAfterPolicy retryAfter;
    private final Supplier<RepeatAllowance> allowances;
    private final Map<String, RepeatAllowance> repeats = new HashMap<>();
    private final Map<Long, OpenGatewayRequest> open = new HashMap<>();
    private final Map<Long, OpenGatewayRequest> byAttempt = new HashMap<>();
    private final TreeSet<GatewayRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(GatewayRequest::deadlineNanos).thenComparingLong(GatewayRequest::id));
    private long nextAttempt = 1;

    /**
     * Makes a dispatcher that knows no upstream.
     *
     * @param zone the gateway's availability zone
     * @param allowances makes the allowance of each service
     * @param random source of routing choices and of the spread of returning callers
     */
    public GatewayDispatcher(String zone, Supplier<RepeatAllowance> allowances, RandomGenerator random) {
        this.choice = new UpstreamChoice(zone, random);
        this.retryAfter = new RetryAfterPolicy(random);
        this.allowances = allowances;
    }

    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowNanos monotonic time in ns
     * @return what the shell must do, in order
     */
    public List<GatewayAction> on(GatewayEvent event, long nowNanos) {
        Step step = new Step(nowNanos);
        switch (event) {
            case GatewayEvent.Arrived a -> step.arrived(a.request());
            case GatewayEvent.CallerGone g ->
                Optional.ofNullable(open.get(g.request())).ifPresent(step::close);
            case GatewayEvent.Progress p -> step.progress(p);
            case GatewayEvent.Ended e -> step.ended(e);
            case GatewayEvent.Listed l -> directory.listed(l.upstreams(), nowNanos);
            case GatewayEvent.Tick t -> step.tick();
        }
        return step.out;
    }

    /**
     * Returns the requests without a final answer.
     *
     * @return count
     */
    public int openRequests() {
        return open.size();
    }

    /**
     * Returns the upstreams of a service.
     *
     * @param service its name
     * @return what is known of each
     */
    public List<UpstreamState> upstreams(String service) {
        return directory.ofService(service);
    }

    private RepeatAllowance allowance(String service) {
        return repeats.computeIfAbsent(service, s -> allowances.get());
    }

    /** The handling of one event. */
    private final class Step {
        private final long nowNanos;
        private final List<GatewayAction> out = new ArrayList<>();

        private Step(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void arrived(GatewayRequest r) {
            allowance(r.service()).request(nowNanos);
            OpenGatewayRequest o = new OpenGatewayRequest(r);
            open.put(r.id(), o);
            byDeadline.add(r);
            send(o, Reason.NO_UPSTREAM);
        }

        /** Sends the next attempt, or gives the request up for the given reason if there is nowhere to send it. */
        private void send(OpenGatewayRequest o, Reason otherwise) {
            GatewayRequest r = o.request;
            Duration left = Duration.ofNanos(r.deadlineNanos() - nowNanos);
            if (left.compareTo(LEAST_REMAINING) < 0) {
                giveUp(o, Reason.DEADLINE);
                return;
            }
            Optional<UpstreamState> chosen = choice.choose(directory.ofService(r.service()), o.tried, nowNanos);
            if (chosen.isEmpty()) {
                giveUp(o, otherwise);
                return;
            }
            UpstreamState u = chosen.get();
            long number = nextAttempt++;
            o.attempt = Optional.of(new OpenGatewayRequest.Attempt(number, u, nowNanos));
            o.tried.add(u.listed().id());
            o.attempts++;
            byAttempt.put(number, o);
            u.sent();
            out.add(new GatewayAction.Send(r, number, u.listed(), left));
        }

        private void progress(GatewayEvent.Progress p) {
            OpenGatewayRequest o = byAttempt.get(p.attempt());
            if (o == null) {
                return;
            }
            o.begun |= p.begun();
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            a.progressNanos = nowNanos;
            a.upstream.progressed(nowNanos);
        }

        private void ended(GatewayEvent.Ended e) {
            OpenGatewayRequest o = byAttempt.remove(e.attempt());
            if (o == null) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            o.attempt = Optional.empty();
            a.upstream.ended();
            learn(a, e.outcome());
            settle(o, a, e.outcome());
        }

        private void learn(OpenGatewayRequest.Attempt a, AttemptOutcome outcome) {
            switch (outcome) {
                case AttemptOutcome.Whole w -> a.upstream.succeeded(millisSince(a.sentNanos), nowNanos);
                case AttemptOutcome.Failed f -> a.upstream.failed(nowNanos);
                case AttemptOutcome.Broken b -> a.upstream.failed(nowNanos);
                case AttemptOutcome.Unreached u -> a.upstream.unreached(nowNanos);
                case AttemptOutcome.Rejected r -> pause(a.upstream, r.cause());
            }
        }

        private void pause(UpstreamState u, AttemptOutcome.Rejected.Cause cause) {
            Duration time = switch (cause) {
                case FULL -> FULL_PAUSE;
                case MISDIRECTED -> MISDIRECTED_PAUSE;
                case GROUP_BROKEN, UNACCEPTABLE -> Duration.ZERO;
            };
            u.pause(time.toNanos(), nowNanos);
        }

        private void settle(OpenGatewayRequest o, OpenGatewayRequest.Attempt a, AttemptOutcome outcome) {
            switch (outcome) {
                case AttemptOutcome.Whole w -> deliver(o, a);
                case AttemptOutcome.Failed f -> {
                    o.mayHaveRun = Optional.of(Reason.ANSWER_BROKEN);
                    if (o.request.route().isRepeatable() && tryRepeat(o)) {
                        send(o, Reason.ANSWER_BROKEN);
                    } else if (o.begun) {
                        giveUp(o, Reason.ANSWER_BROKEN);
                    } else {
                        deliver(o, a);
                    }
                }
                case AttemptOutcome.Unreached u -> {
                    o.attempts--;
                    send(o, Reason.UPSTREAM_UNREACHABLE);
                }
                case AttemptOutcome.Rejected r
                when r.cause() == AttemptOutcome.Rejected.Cause.GROUP_BROKEN -> giveUp(o, Reason.NO_UPSTREAM);
                case AttemptOutcome.Rejected r -> repeatOrGiveUp(o, Reason.OVERLOADED);
                case AttemptOutcome.Broken b -> {
                    o.mayHaveRun = Optional.of(b.reason());
                    if (o.request.route().isRepeatable()) {
                        repeatOrGiveUp(o, b.reason());
                    } else {
                        giveUp(o, b.reason());
                    }
                }
            }
        }

        private boolean mayRepeat(OpenGatewayRequest o) {
            return o.attempts < o.request.route().maxAttempts()
                    && nowNanos + LEAST_REMAINING.toNanos() < o.request.deadlineNanos()
                    && choice.choose(directory.ofService(o.request.service()), o.tried, nowNanos)
                            .isPresent();
        }

        private boolean tryRepeat(OpenGatewayRequest o) {
            return mayRepeat(o) && allowance(o.request.service()).tryRepeat(nowNanos);
        }

        private void repeatOrGiveUp(OpenGatewayRequest o, Reason reason) {
            if (tryRepeat(o)) {
                send(o, reason);
            } else {
                giveUp(o, reason);
            }
        }

        private void deliver(OpenGatewayRequest o, OpenGatewayRequest.Attempt a) {
            close(o);
            out.add(new GatewayAction.Deliver(o.request.id(), a.number));
        }

        private void giveUp(OpenGatewayRequest o, Reason reason) {
            close(o);
            Verdict verdict = o.mayHaveRun.isPresent()
                    ? new Verdict.MayHaveRun(reason == Reason.DEADLINE ? reason : o.mayHaveRun.get())
                    : new Verdict.NotRun(reason, retryAfter.after(reason, o.request, nowNanos));
            out.add(
                    o.begun
                            ? new GatewayAction.BreakOff(o.request.id(), verdict)
                            : new GatewayAction.Refuse(o.request.id(), verdict));
        }

        private void close(OpenGatewayRequest o) {
            open.remove(o.request.id());
            byDeadline.remove(o.request);
            o.attempt.ifPresent(a -> {
                byAttempt.remove(a.number);
                a.upstream.ended();
                out.add(new GatewayAction.Cancel(a.number));
            });
            o.attempt = Optional.empty();
        }

        private void tick() {
            while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
                expire(open.get(byDeadline.first().id()));
            }
            for (OpenGatewayRequest o : List.copyOf(open.values())) {
                if (isSilent(o)) {
                    moveOn(o);
                }
            }
        }

        private void expire(OpenGatewayRequest o) {
            o.attempt.ifPresent(a -> o.mayHaveRun = Optional.of(Reason.DEADLINE));
            giveUp(o, Reason.DEADLINE);
        }

        /** Says whether an attempt that could be repeated seems lost while its service goes on. */
        private boolean isSilent(OpenGatewayRequest o) {
            if (o.attempt.isEmpty() || !o.request.route().isRepeatable() || !mayRepeat(o)) {
                return false;
            }
            OpenGatewayRequest.Attempt a = o.attempt.get();
            Duration bound = o.request.route().streaming()
                    ? SILENCE
                    : o.request.route().target().multipliedBy(SLOW_ANSWER_TARGETS);
            if (nowNanos - Math.max(a.progressNanos, a.upstream.lastProgressNanos()) < bound.toNanos()) {
                return false;
            }
            return directory.ofService(o.request.service()).stream()
                    .anyMatch(u -> u != a.upstream && nowNanos - u.lastProgressNanos() < RECENT.toNanos());
        }

        private void moveOn(OpenGatewayRequest o) {
            if (!allowance(o.request.service()).tryRepeat(nowNanos)) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            byAttempt.remove(a.number);
            a.upstream.ended();
            a.upstream.failed(nowNanos);
            o.attempt = Optional.empty();
            o.mayHaveRun = Optional.of(Reason.CONNECTION_LOST);
            out.add(new GatewayAction.Cancel(a.number));
            send(o, Reason.CONNECTION_LOST);
        }

        private double millisSince(long nanos) {
            return (nowNanos - nanos) / 1e6;
        }
    }
}
