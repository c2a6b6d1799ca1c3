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
    // A member of a group that is down is left alone for this long while other groups serve.
    private static final Duration OTHER_GROUP_PAUSE = Duration.ofSeconds(1);
    // A stream without bytes for this long, while others of its service go on, is taken for lost.
    private static final Duration SILENCE = Duration.ofMillis(900);
    private static final Duration RECENT = Duration.ofMillis(300);
    // With more slow upstreams than this part, the others could not take over their streams.
    private static final double SLOW_SHARE = 0.25;
    // A plain idempotent request is sent elsewhere after this many times its target.
    private static final int SLOW_ANSWER_TARGETS = 3;

    private final GatewayDirectory directory = new GatewayDirectory();
    private final UpstreamChoice choice;
    private final RetryAfterPolicy retryAfter;
    private final Supplier<RepeatAllowance> allowances;
    private final Map<String, RepeatAllowance> repeats = new HashMap<>();
    private final Map<String, AdmissionQueue> queues = new HashMap<>();
    private final Map<String, SlownessWatch> watches = new HashMap<>();
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
            case GatewayEvent.SpeedTold t -> directory.find(t.upstream()).ifPresent(u -> step.told(u, t.slowness()));
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

    private AdmissionQueue queue(String service) {
        return queues.computeIfAbsent(service, s -> new AdmissionQueue());
    }

    private AdmissionQueue queue(OpenGatewayRequest o) {
        return queue(o.request.service());
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
            if (queue(o).tryPass(r, nowNanos)) {
                send(o, Reason.NO_UPSTREAM);
            } else {
                await(o);
            }
        }

        /** Lets a request wait for room, or refuses it if its caller wouldn't wait. */
        private void await(OpenGatewayRequest o) {
            if (!queue(o).tryWait(o, nowNanos)) {
                giveUp(o, Reason.NO_UPSTREAM);
            }
        }

        private void release(AdmissionQueue queue) {
            for (OpenGatewayRequest o : queue.pollSendable(nowNanos)) {
                if (o.attempts == 0 || tryRepeat(o)) {
                    send(o, Reason.NO_UPSTREAM);
                } else {
                    giveUp(o, Reason.NO_UPSTREAM);
                }
            }
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
            queue(o).sent(o.attempt.get(), r, nowNanos);
            out.add(new GatewayAction.Send(r, number, u.listed(), left, r.admissionRank(nowNanos)));
        }

        private void progress(GatewayEvent.Progress p) {
            OpenGatewayRequest o = byAttempt.get(p.attempt());
            if (o == null) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            if (o.begun) {
                watch(o.request, nowNanos - a.progressNanos);
            }
            o.begun |= p.begun();
            a.progressNanos = nowNanos;
            a.upstream.progressed(nowNanos);
            noteAnswer(a);
            if (o.begun) {
                queue(o).settled(a);
            }
            release(queue(o));
        }

        /** Asks the upstreams of a service for their speeds if the parts of its answers come too far apart. */
        private void watch(GatewayRequest r, long gapNanos) {
            SlownessWatch watch = watches.computeIfAbsent(r.service(), s -> new SlownessWatch());
            watch.gap(gapNanos);
            List<UpstreamState> all = directory.ofService(r.service());
            boolean knowsSlow = all.stream().anyMatch(UpstreamState::isSlow);
            if (r.route().targetGap().isPositive()
                    && watch.tryAsk(r.route().targetGap(), all.size(), knowsSlow, nowNanos)) {
                out.add(new GatewayAction.AskSpeeds(
                        all.stream().map(UpstreamState::listed).toList()));
            }
        }

        /** Takes the speed of an upstream; the streams of one that turned slow go on elsewhere. */
        private void told(UpstreamState u, double slowness) {
            boolean wasSlow = u.isSlow();
            u.told(slowness);
            if (wasSlow || !u.isSlow() || !canOthersTakeOver(u.listed().service())) {
                return;
            }
            for (OpenGatewayRequest o : List.copyOf(open.values())) {
                boolean isThere = o.attempt.isPresent() && o.attempt.get().upstream == u;
                if (isThere && o.request.route().repeat() == Route.Repeat.RESUMABLE && mayRepeat(o)) {
                    moveOn(o);
                }
            }
        }

        private boolean canOthersTakeOver(String service) {
            List<UpstreamState> all = directory.ofService(service);
            long slow = all.stream().filter(UpstreamState::isSlow).count();
            return slow <= Math.max(1, SLOW_SHARE * all.size());
        }

        private void ended(GatewayEvent.Ended e) {
            OpenGatewayRequest o = byAttempt.remove(e.attempt());
            if (o == null) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            o.attempt = Optional.empty();
            a.upstream.ended();
            queue(o).settled(a);
            learn(a, e.outcome());
            settle(o, a, e.outcome());
            release(queue(o));
        }

        private void noteAnswer(OpenGatewayRequest.Attempt a) {
            String service = a.upstream.listed().service();
            if (queue(service).answers(a.sentNanos, nowNanos)) {
                noteGroup(service);
            }
        }

        private void noteGroup(String service) {
            AdmissionQueue queue = queue(service);
            out.add(new GatewayAction.GroupNoted(service, queue.isDown(), queue.size()));
        }

        private void learn(OpenGatewayRequest.Attempt a, AttemptOutcome outcome) {
            switch (outcome) {
                case AttemptOutcome.Whole w -> {
                    a.upstream.succeeded(millisSince(a.sentNanos), nowNanos);
                    noteAnswer(a);
                }
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
                when r.cause() == AttemptOutcome.Rejected.Cause.GROUP_BROKEN -> {
                    groupBroken(o, a);
                }
                case AttemptOutcome.Rejected r -> repeatOrGiveUp(o, Reason.OVERLOADED);
                case AttemptOutcome.Broken b -> {
                    o.mayHaveRun = Optional.of(b.reason());
                    if (o.request.route().isRepeatable() && !isHopeless(o)) {
                        repeatOrGiveUp(o, b.reason());
                    } else {
                        giveUp(o, b.reason());
                    }
                }
            }
        }

        /** Waits for the group, unless others of the service answer, as members of another group. */
        private void groupBroken(OpenGatewayRequest o, OpenGatewayRequest.Attempt a) {
            if (isAnyLively(o.request.service(), a.upstream)) {
                a.upstream.pause(OTHER_GROUP_PAUSE.toNanos(), nowNanos);
                repeatOrGiveUp(o, Reason.NO_UPSTREAM);
                return;
            }
            if (queue(o).broken(nowNanos)) {
                noteGroup(o.request.service());
            }
            await(o);
        }

        private boolean isAnyLively(String service, UpstreamState except) {
            return directory.ofService(service).stream()
                    .anyMatch(u -> u != except && nowNanos - u.lastProgressNanos() < RECENT.toNanos());
        }

        /** Says whether a stream has begun whose group is down: its caller won't wait until the group is whole. */
        private boolean isHopeless(OpenGatewayRequest o) {
            return o.begun && queue(o).isDown();
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
            queue(o).remove(o);
            o.attempt.ifPresent(a -> {
                byAttempt.remove(a.number);
                a.upstream.ended();
                queue(o).settled(a);
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
                    o.attempt.get().upstream.failed(nowNanos);
                    moveOn(o);
                }
            }
            queues.values().forEach(this::tick);
        }

        private void tick(AdmissionQueue queue) {
            queue.pollOverdue(nowNanos).forEach(o -> giveUp(o, Reason.NO_UPSTREAM));
            release(queue);
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
            return isAnyLively(o.request.service(), a.upstream);
        }

        private void moveOn(OpenGatewayRequest o) {
            if (!allowance(o.request.service()).tryRepeat(nowNanos)) {
                return;
            }
            OpenGatewayRequest.Attempt a = o.attempt.orElseThrow();
            byAttempt.remove(a.number);
            a.upstream.ended();
            queue(o).settled(a);
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
