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
 * Dispatches the requests of one entry to upstreams, from admission through retries to a single final answer.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each request ends in exactly one of {@link DispatchAction.SendAnswer}, {@link DispatchAction.RefuseRequest}
 *       and {@link DispatchAction.EndStream}, unless its caller disconnected; no later action refers to it.
 *   <li>A request ends in {@link Verdict.NotRun} only if it is certain that none of its attempts ran.
 *   <li>An answer passed on as completed consists of every byte that the upstream sent, in order, and only of bytes
 *       from attempts of this request. Attempt numbers are never reused; frames of unknown attempts are dropped and
 *       counted.
 *   <li>A request that is not repeatable gets a further attempt only after {@link Verdict.NotRun}.
 * </ul>
 *
 * <p>Not thread-safe: confined to one thread. Does no I/O, reads no clock and takes its source of randomness as an
 * argument.
 */
public final class Dispatcher {
    private static final Duration NO_UPSTREAM_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration DEADLINE_SLACK = Duration.ofMillis(20);
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
    private static final String EVENT_STREAM = "text/event-stream";

    private final UpstreamDirectory directory;
    private final AdmissionController admission = new AdmissionController();
    private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final Map<Long, OpenRequest> byAttempt = new HashMap<>();
    private final TreeSet<DispatchRequest> byDeadline = new TreeSet<>(
            Comparator.comparingLong(DispatchRequest::deadlineNanos).thenComparingLong(DispatchRequest::id));
    private final Router router;
    private Configuration configuration = Configuration.NONE;
    private long nextAttempt = 1;
    private long droppedFrames;
    private long retries;

    /**
     * Creates a dispatcher without upstreams.
     *
     * @param zone the entry's availability zone
     * @param subset selects the upstreams to which the entry keeps links
     * @param random source of randomness for routing
     */
    public Dispatcher(String zone, UpstreamSubset subset, RandomGenerator random) {
        this.directory = new UpstreamDirectory(subset);
        this.router = new Router(zone, random);
    }

    /**
     * Handles an event.
     *
     * @param event the event to handle
     * @param nowNanos monotonic time in ns
     * @return the actions for the shell to perform, in order
     */
    public List<DispatchAction> handle(DispatchEvent event, long nowNanos) {
        EventHandler handler = new EventHandler(nowNanos);
        switch (event) {
            case DispatchEvent.RequestArrived a -> handler.requestArrived(a.request());
            case DispatchEvent.CallerDisconnected g -> handler.callerDisconnected(g.request());
            case DispatchEvent.SendFailed n ->
                handler.attemptEnded(
                        n.attempt(), new Verdict.NotRun(Reason.CONNECTION_LOST, NO_UPSTREAM_RETRY_AFTER), 0);
            case DispatchEvent.AnswerHead h -> handler.answerHead(h);
            case DispatchEvent.AnswerChunk c -> handler.answerChunk(c);
            case DispatchEvent.AttemptEnded e -> handler.attemptEnded(e.attempt(), e.verdict(), e.length());
            case DispatchEvent.LinkUp u -> directory.markLinkUp(u.upstream());
            case DispatchEvent.LinkDown d -> handler.linkDown(d.upstream());
            case DispatchEvent.ReportReceived r -> directory.updateReport(r.upstream(), r.report());
            case DispatchEvent.VmListChanged l -> handler.updateLinks(directory.updateList(l.vms()));
            case DispatchEvent.ConfigurationChanged c -> configuration = c.configuration();
            case DispatchEvent.Tick t -> handler.expireRequests();
        }
        return handler.actions;
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
     * Returns the number of requests without a final answer.
     *
     * @return number of open requests
     */
    public int openRequests() {
        return openRequests.size();
    }

    /**
     * Returns the number of frames dropped because they belong to no attempt in flight.
     *
     * @return count since the dispatcher was created
     */
    public long droppedFrames() {
        return droppedFrames;
    }

    /**
     * Returns the number of retries, that is, of attempts beyond the first of each request.
     *
     * @return count since the dispatcher was created
     */
    public long retries() {
        return retries;
    }

    /**
     * Returns whether a service has an upstream that accepts requests.
     *
     * @param service name of the service
     * @return true if there is one
     */
    public boolean hasUpstream(String service) {
        return !directory.acceptingUpstreams(service).isEmpty();
    }

    private static AdmissionKey admissionKey(DispatchRequest r) {
        return new AdmissionKey(r.service(), r.urgency(), r.team());
    }

    private RetryBudget retryBudget(String service) {
        return retryBudgets.computeIfAbsent(service, s -> new RetryBudget());
    }

    /** Handles one event and collects the resulting actions. */
    private final class EventHandler {
        private final long nowNanos;
        private final List<DispatchAction> actions = new ArrayList<>();

        private EventHandler(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        private void requestArrived(DispatchRequest r) {
            Optional<Verdict.NotRun> refusal = admission.admit(admissionKey(r), nowNanos);
            if (refusal.isPresent()) {
                actions.add(new DispatchAction.RefuseRequest(r.id(), refusal.get()));
                return;
            }
            ServiceFile file = configuration.services().get(r.service());
            if (file == null) {
                refuse(r, Reason.UNKNOWN_SERVICE, Duration.ZERO);
                return;
            }
            retryBudget(r.service()).recordFirstAttempt(file.limits().retryPercent());
            OpenRequest o = new OpenRequest(r);
            openRequests.put(r.id(), o);
            byDeadline.add(r);
            sendNextAttempt(o);
        }

        private void refuse(DispatchRequest r, Reason reason, Duration retryAfter) {
            actions.add(new DispatchAction.RefuseRequest(r.id(), new Verdict.NotRun(reason, retryAfter)));
        }

        /** Sends the next attempt, or finishes the request if its deadline has passed or no upstream is left to try. */
        private void sendNextAttempt(OpenRequest o) {
            DispatchRequest r = o.request;
            if (nowNanos >= r.deadlineNanos()) {
                finish(o, new Verdict.NotRun(Reason.DEADLINE, Duration.ZERO));
                return;
            }
            List<Upstream> accepting = directory.acceptingUpstreams(r.service());
            Optional<Upstream> choice = r.bucket().isPresent()
                    ? router.chooseForBucket(
                            accepting, o.triedUpstreams, r.bucket().get())
                    : router.choose(accepting, o.triedUpstreams, r.urgency());
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
            actions.add(new DispatchAction.SendAttempt(attempt, id, r.id(), remaining, o.splitter.eventCount()));
        }

        private Optional<OpenRequest> findByAttempt(long attempt) {
            Optional<OpenRequest> o = Optional.ofNullable(byAttempt.get(attempt));
            if (o.isEmpty()) {
                droppedFrames++;
            }
            return o;
        }

        private void answerHead(DispatchEvent.AnswerHead h) {
            Optional<OpenRequest> found = findByAttempt(h.attempt());
            if (found.isEmpty()) {
                return;
            }
            OpenRequest o = found.get();
            if (o.status != 0) {
                abortAttempt(o, Reason.ANSWER_BROKEN);
                return;
            }
            o.status = h.status();
            o.contentType = h.contentType();
            o.streamed = h.contentType().startsWith(EVENT_STREAM);
            if (o.streamBegun && !o.streamed) {
                abortAttempt(o, Reason.ANSWER_BROKEN);
            }
        }

        private void answerChunk(DispatchEvent.AnswerChunk c) {
            Optional<OpenRequest> found = findByAttempt(c.attempt());
            if (found.isEmpty()) {
                return;
            }
            OpenRequest o = found.get();
            if (o.status == 0 || c.offset() != o.receivedBytes) {
                abortAttempt(o, Reason.ANSWER_BROKEN);
                return;
            }
            o.receivedBytes += c.data().length;
            UpstreamId upstream = o.currentAttempt.orElseThrow().upstream();
            if (!o.streamed) {
                bufferChunk(o, c, upstream);
                return;
            }
            byte[] events = o.splitter.append(c.data());
            if (events.length == 0) {
                actions.add(new DispatchAction.GrantCredit(c.attempt(), upstream, c.data().length));
                return;
            }
            if (!o.streamBegun) {
                o.streamBegun = true;
                actions.add(new DispatchAction.BeginStream(o.request.id(), o.status, o.contentType));
            }
            actions.add(new DispatchAction.SendEvents(o.request.id(), c.attempt(), upstream, events, c.data().length));
        }

        private void bufferChunk(OpenRequest o, DispatchEvent.AnswerChunk c, UpstreamId upstream) {
            if (o.receivedBytes > MAX_BUFFERED_BYTES) {
                abortAttempt(o, Reason.ANSWER_BROKEN);
                return;
            }
            o.body.writeBytes(c.data());
            actions.add(new DispatchAction.GrantCredit(c.attempt(), upstream, c.data().length));
        }

        /** Cancels an attempt whose frames do not form a valid answer. */
        private void abortAttempt(OpenRequest o, Reason reason) {
            OpenRequest.Attempt a = o.currentAttempt.orElseThrow();
            actions.add(new DispatchAction.CancelAttempt(a.number(), a.upstream()));
            attemptEnded(a.number(), new Verdict.MayHaveRun(reason), 0);
        }

        private void attemptEnded(long attempt, Verdict verdict, long length) {
            Optional<OpenRequest> found = findByAttempt(attempt);
            if (found.isEmpty()) {
                return;
            }
            OpenRequest o = found.get();
            byAttempt.remove(attempt);
            UpstreamId upstream = o.currentAttempt.orElseThrow().upstream();
            o.currentAttempt = Optional.empty();
            Verdict outcome = verdict instanceof Verdict.Completed c ? checkComplete(o, c, length) : verdict;
            directory.recordEnded(upstream, o.request.urgency(), isUpstreamFailure(outcome));
            o.mayHaveRun |= outcome instanceof Verdict.MayHaveRun;
            retryOrFinish(o, outcome);
        }

        private Verdict checkComplete(OpenRequest o, Verdict.Completed c, long length) {
            boolean isComplete = o.status != 0 && o.receivedBytes == length && (!o.streamed || o.splitter.isComplete());
            return isComplete ? c : new Verdict.MayHaveRun(Reason.ANSWER_BROKEN);
        }

        private void retryOrFinish(OpenRequest o, Verdict outcome) {
            DispatchRequest r = o.request;
            if (o.streamBegun && o.splitter.isComplete()) {
                finish(o, new Verdict.Completed(o.status));
                return;
            }
            RetryContext facts = new RetryContext(r.repeatable(), o.attemptCount, r.deadlineNanos());
            if (RetryPolicy.shouldRetry(facts, outcome, retryBudget(r.service()), nowNanos)) {
                retries++;
                sendNextAttempt(o);
                return;
            }
            finish(o, outcome);
        }

        private void finish(OpenRequest o, Verdict verdict) {
            removeRequest(o);
            updateAdmission(o.request, verdict);
            Verdict end =
                    verdict instanceof Verdict.NotRun n && o.mayHaveRun ? new Verdict.MayHaveRun(n.reason()) : verdict;
            if (o.streamBegun) {
                actions.add(new DispatchAction.EndStream(o.request.id(), end));
                return;
            }
            if (verdict instanceof Verdict.Completed) {
                actions.add(
                        new DispatchAction.SendAnswer(o.request.id(), o.status, o.contentType, o.body.toByteArray()));
                return;
            }
            actions.add(new DispatchAction.RefuseRequest(o.request.id(), end));
        }

        private void updateAdmission(DispatchRequest r, Verdict verdict) {
            switch (verdict) {
                case Verdict.Completed c -> admission.recordAccepted(admissionKey(r));
                case Verdict.NotRun n
                when n.reason() == Reason.OVERLOADED -> admission.recordRefused(admissionKey(r), nowNanos);
                default -> {
                    // Other outcomes carry no information about the load of the service.
                }
            }
        }

        private void removeRequest(OpenRequest o) {
            openRequests.remove(o.request.id());
            byDeadline.remove(o.request);
            o.currentAttempt.ifPresent(a -> {
                byAttempt.remove(a.number());
                directory.recordEnded(a.upstream(), o.request.urgency(), false);
                actions.add(new DispatchAction.CancelAttempt(a.number(), a.upstream()));
            });
            o.currentAttempt = Optional.empty();
        }

        private void callerDisconnected(long request) {
            Optional.ofNullable(openRequests.get(request)).ifPresent(this::removeRequest);
        }

        private void linkDown(UpstreamId upstream) {
            directory.markLinkDown(upstream);
            List<Long> lost = byAttempt.values().stream()
                    .map(o -> o.currentAttempt.orElseThrow())
                    .filter(a -> a.upstream().equals(upstream))
                    .map(OpenRequest.Attempt::number)
                    .toList();
            lost.forEach(a -> attemptEnded(a, new Verdict.MayHaveRun(Reason.CONNECTION_LOST), 0));
        }

        private void updateLinks(UpstreamDirectory.LinkChanges changes) {
            changes.dial().forEach(id -> actions.add(new DispatchAction.OpenLink(id)));
            changes.drop().forEach(id -> actions.add(new DispatchAction.CloseLink(id)));
        }

        private void expireRequests() {
            while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
                OpenRequest o = openRequests.get(byDeadline.first().id());
                Verdict verdict = o.currentAttempt.isPresent()
                        ? new Verdict.MayHaveRun(Reason.DEADLINE)
                        : new Verdict.NotRun(Reason.DEADLINE, Duration.ZERO);
                finish(o, verdict);
            }
        }
    }

    private static boolean isUpstreamFailure(Verdict outcome) {
        return outcome instanceof Verdict.MayHaveRun m && m.reason() != Reason.CANCELLED;
    }
}
