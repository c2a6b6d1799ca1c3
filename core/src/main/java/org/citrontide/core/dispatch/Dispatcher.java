package org.citrontide.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.citrontide.core.admission.AdmissionController;
import org.citrontide.core.admission.AdmissionKey;
import org.citrontide.core.membership.Upstream;
import org.citrontide.core.membership.UpstreamDirectory;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.retry.RetryBudget;
import org.citrontide.core.retry.RetryContext;
import org.citrontide.core.retry.RetryPolicy;
import org.citrontide.core.routing.Router;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Carries every request of one entry from its arrival to its one final answer.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each request ends in exactly one of {@link DispatchAction.Answer}, {@link DispatchAction.Refuse} and {@link
 *       DispatchAction.EndStream}, unless its caller left; no action names it afterwards.
 *   <li>A request ends in {@link Verdict.NotRun} only if each of its attempts certainly did not run.
 *   <li>An answer passed on as completed has every byte that the upstream sent, in order, from attempts of this request
 *       alone. Attempt numbers are never used twice; frames of unknown attempts are dropped and counted.
 *   <li>A request that must not be repeated has a second attempt only after {@link Verdict.NotRun}.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns it. It does no I/O, reads no clock, and its randomness is passed in.
 */
public final class Dispatcher {
    private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(20);
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
    private static final String EVENT_STREAM = "text/event-stream";

    private final UpstreamDirectory directory;
    private final AdmissionController admission = new AdmissionController();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private final Map<Long, OpenRequest> byAttempt = new HashMap<>();
    private final TreeSet<DispatchRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(DispatchRequest::deadlineNanos).thenComparingLong(DispatchRequest::id));
    private final Router router;
    private Configuration configuration = Configuration.NONE;
    private long nextAttempt = 1;
    private long droppedFrames;
    private long retries;

    /**
     * Makes a dispatcher that knows no upstream.
     *
     * @param zone the entry's availability zone
     * @param subset chooses the upstreams that the entry keeps links to
     * @param random source of routing choices
     */
    public Dispatcher(String zone, UpstreamSubset subset, RandomGenerator random) {
        this.directory = new UpstreamDirectory(subset);
        this.router = new Router(zone, random);
    }

    /**
     * Takes one event.
     *
     * @param event what happened
     * @param nowNanos monotonic time in ns
     * @return what the shell must do, in order
     */
    public List<DispatchAction> on(DispatchEvent event, long nowNanos) {
        Step step = new Step(nowNanos);
        switch (event) {
            case DispatchEvent.Arrived a -> step.arrived(a.request());
            case DispatchEvent.CallerGone g -> step.callerGone(g.request());
            case DispatchEvent.NotSent n ->
                step.attemptEnded(n.attempt(), new Verdict.NotRun(Reason.CONNECTION_LOST, NO_UPSTREAM_RETRY_AFTER), 0);
            case DispatchEvent.Head h -> step.head(h);
            case DispatchEvent.Chunk c -> step.chunk(c);
            case DispatchEvent.Ended e -> step.attemptEnded(e.attempt(), e.verdict(), e.length());
            case DispatchEvent.LinkUp u -> directory.markLinkUp(u.upstream());
            case DispatchEvent.LinkDown d -> step.linkDown(d.upstream());
            case DispatchEvent.Report r -> directory.updateReport(r.upstream(), r.report());
            case DispatchEvent.Listed l -> step.listed(directory.updateList(l.vms()));
            case DispatchEvent.Configured c -> configuration = c.configuration();
            case DispatchEvent.Tick t -> step.expire();
        }
        return step.out;
    }

    /**
     * Returns the earliest deadline of an open request.
     *
     * @return monotonic time in ns, or empty if there is no open request
     */
    public Optional<Long> nextDeadlineNanos() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().deadlineNanos());
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
     * Returns the frames that named no attempt under way.
     *
     * @return count since the start
     */
    public long droppedFrames() {
        return droppedFrames;
    }

    /**
     * Returns the attempts after the first of their request.
     *
     * @return count since the start
     */
    public long retries() {
        return retries;
    }

    /**
     * Says whether a service has an upstream that takes work.
     *
     * @param service name of the service
     * @return true if there is one
     */
    public boolean hasUpstream(String service) {
        return !directory.acceptingUpstreams(service).isEmpty();
    }

    private static AdmissionKey key(DispatchRequest r) {
        return new AdmissionKey(r.service(), r.urgency(), r.team());
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, s -> new RetryBudget());
    }

    /** The handling of one event. */
    private final class Step {
        private final long nowNanos;
        private final List<DispatchAction> out = new ArrayList<>();

        private Step(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void arrived(DispatchRequest r) {
            Optional<Verdict.NotRun> refusal = admission.admit(key(r), nowNanos);
            if (refusal.isPresent()) {
                out.add(new DispatchAction.Refuse(r.id(), refusal.get()));
                return;
            }
            ServiceFile file = configuration.services().get(r.service());
            if (file == null) {
                refuse(r, Reason.UNKNOWN_SERVICE, Duration.ZERO);
                return;
            }
            budget(r.service()).recordFirstAttempt(file.limits().retryPercent());
            OpenRequest o = new OpenRequest(r);
            open.put(r.id(), o);
            byDeadline.add(r);
            send(o);
        }

        private void refuse(DispatchRequest r, Reason reason, Duration retryAfter) {
            out.add(new DispatchAction.Refuse(r.id(), new Verdict.NotRun(reason, retryAfter)));
        }

        /** Sends the next attempt, or gives the request up if there is nowhere to send it. */
        private void send(OpenRequest o) {
            DispatchRequest r = o.request;
            if (nowNanos >= r.deadlineNanos()) {
                finish(o, new Verdict.NotRun(Reason.DEADLINE, Duration.ZERO));
                return;
            }
            List<Upstream> accepting = directory.acceptingUpstreams(r.service());
            Optional<Upstream> choice = r.bucket().isPresent()
                    ? router.chooseForBucket(accepting, o.tried, r.bucket().get())
                    : router.choose(accepting, o.tried, r.urgency());
            if (choice.isEmpty()) {
                finish(o, new Verdict.NotRun(Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER));
                return;
            }
            UpstreamId id = choice.get().vm().id();
            long attempt = nextAttempt++;
            o.beginAttempt(new OpenRequest.Attempt(attempt, id));
            byAttempt.put(attempt, o);
            directory.recordSent(id, r.urgency());
            Duration left = Duration.ofNanos(r.deadlineNanos() - nowNanos);
            Duration remaining = left.compareTo(DEADLINE_SLACK.multipliedBy(2)) > 0 ? left.minus(DEADLINE_SLACK) : left;
            out.add(new DispatchAction.Send(attempt, id, r.id(), remaining, o.splitter.events()));
        }

        private Optional<OpenRequest> current(long attempt) {
            Optional<OpenRequest> o = Optional.ofNullable(byAttempt.get(attempt));
            if (o.isEmpty()) {
                droppedFrames++;
            }
            return o;
        }

        private void head(DispatchEvent.Head h) {
            Optional<OpenRequest> found = current(h.attempt());
            if (found.isEmpty()) {
                return;
            }
            OpenRequest o = found.get();
            if (o.status != 0) {
                breakAttempt(o, Reason.ANSWER_BROKEN);
                return;
            }
            o.status = h.status();
            o.contentType = h.contentType();
            o.streamed = h.contentType().startsWith(EVENT_STREAM);
            if (o.begun && !o.streamed) {
                breakAttempt(o, Reason.ANSWER_BROKEN);
            }
        }

        private void chunk(DispatchEvent.Chunk c) {
            Optional<OpenRequest> found = current(c.attempt());
            if (found.isEmpty()) {
                return;
            }
            OpenRequest o = found.get();
            if (o.status == 0 || c.offset() != o.received) {
                breakAttempt(o, Reason.ANSWER_BROKEN);
                return;
            }
            o.received += c.data().length;
            UpstreamId upstream = o.attempt.orElseThrow().upstream();
            if (!o.streamed) {
                buffer(o, c, upstream);
                return;
            }
            byte[] events = o.splitter.add(c.data());
            if (events.length == 0) {
                out.add(new DispatchAction.Credit(c.attempt(), upstream, c.data().length));
                return;
            }
            if (!o.begun) {
                o.begun = true;
                out.add(new DispatchAction.BeginStream(o.request.id(), o.status, o.contentType));
            }
            out.add(new DispatchAction.Stream(o.request.id(), c.attempt(), upstream, events, c.data().length));
        }

        private void buffer(OpenRequest o, DispatchEvent.Chunk c, UpstreamId upstream) {
            if (o.received > MAX_BUFFERED_BYTES) {
                breakAttempt(o, Reason.ANSWER_BROKEN);
                return;
            }
            o.body.writeBytes(c.data());
            out.add(new DispatchAction.Credit(c.attempt(), upstream, c.data().length));
        }

        /** Ends an attempt whose frames don't add up to an answer. */
        private void breakAttempt(OpenRequest o, Reason reason) {
            OpenRequest.Attempt a = o.attempt.orElseThrow();
            out.add(new DispatchAction.Cancel(a.number(), a.upstream()));
            attemptEnded(a.number(), new Verdict.MayHaveRun(reason), 0);
        }

        private void attemptEnded(long attempt, Verdict verdict, long length) {
            Optional<OpenRequest> found = current(attempt);
            if (found.isEmpty()) {
                return;
            }
            OpenRequest o = found.get();
            byAttempt.remove(attempt);
            UpstreamId upstream = o.attempt.orElseThrow().upstream();
            o.attempt = Optional.empty();
            Verdict outcome = verdict instanceof Verdict.Completed c ? wholeOrBroken(o, c, length) : verdict;
            directory.recordEnded(upstream, o.request.urgency(), isUpstreamFault(outcome));
            o.mayHaveRun |= outcome instanceof Verdict.MayHaveRun;
            settle(o, outcome);
        }

        private Verdict wholeOrBroken(OpenRequest o, Verdict.Completed c, long length) {
            boolean whole = o.status != 0 && o.received == length && (!o.streamed || o.splitter.isWhole());
            return whole ? c : new Verdict.MayHaveRun(Reason.ANSWER_BROKEN);
        }

        private void settle(OpenRequest o, Verdict outcome) {
            DispatchRequest r = o.request;
            if (o.begun && o.splitter.isWhole()) {
                finish(o, new Verdict.Completed(o.status));
                return;
            }
            RetryContext facts = new RetryContext(r.repeatable(), o.attempts, r.deadlineNanos());
            if (RetryPolicy.shouldRetry(facts, outcome, budget(r.service()), nowNanos)) {
                retries++;
                send(o);
                return;
            }
            finish(o, outcome);
        }

        private void finish(OpenRequest o, Verdict verdict) {
            close(o);
            learnAdmission(o.request, verdict);
            Verdict end =
                    verdict instanceof Verdict.NotRun n && o.mayHaveRun ? new Verdict.MayHaveRun(n.reason()) : verdict;
            if (o.begun) {
                out.add(new DispatchAction.EndStream(o.request.id(), end));
                return;
            }
            if (verdict instanceof Verdict.Completed) {
                out.add(new DispatchAction.Answer(o.request.id(), o.status, o.contentType, o.body.toByteArray()));
                return;
            }
            out.add(new DispatchAction.Refuse(o.request.id(), end));
        }

        private void learnAdmission(DispatchRequest r, Verdict verdict) {
            switch (verdict) {
                case Verdict.Completed c -> admission.accepted(key(r));
                case Verdict.NotRun n when n.reason() == Reason.OVERLOADED -> admission.refused(key(r), nowNanos);
                default -> {
                    // Other outcomes say nothing on the load of the service.
                }
            }
        }

        private void close(OpenRequest o) {
            open.remove(o.request.id());
            byDeadline.remove(o.request);
            o.attempt.ifPresent(a -> {
                byAttempt.remove(a.number());
                directory.recordEnded(a.upstream(), o.request.urgency(), false);
                out.add(new DispatchAction.Cancel(a.number(), a.upstream()));
            });
            o.attempt = Optional.empty();
        }

        private void callerGone(long request) {
            Optional.ofNullable(open.get(request)).ifPresent(this::close);
        }

        private void linkDown(UpstreamId upstream) {
            directory.markLinkDown(upstream);
            List<Long> lost = byAttempt.values().stream()
                    .map(o -> o.attempt.orElseThrow())
                    .filter(a -> a.upstream().equals(upstream))
                    .map(OpenRequest.Attempt::number)
                    .toList();
            lost.forEach(a -> attemptEnded(a, new Verdict.MayHaveRun(Reason.CONNECTION_LOST), 0));
        }

        private void listed(UpstreamDirectory.LinkChanges changes) {
            changes.dial().forEach(id -> out.add(new DispatchAction.Dial(id)));
            changes.drop().forEach(id -> out.add(new DispatchAction.Drop(id)));
        }

        private void expire() {
            while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
                OpenRequest o = open.get(byDeadline.first().id());
                Verdict verdict = o.attempt.isPresent()
                        ? new Verdict.MayHaveRun(Reason.DEADLINE)
                        : new Verdict.NotRun(Reason.DEADLINE, Duration.ZERO);
                finish(o, verdict);
            }
        }
    }

    private static boolean isUpstreamFault(Verdict outcome) {
        return outcome instanceof Verdict.MayHaveRun m && m.reason() != Reason.CANCELLED;
    }
}
