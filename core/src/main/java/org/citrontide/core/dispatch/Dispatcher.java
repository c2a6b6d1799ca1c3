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
            case DispatchEvent.RequestArrived a -> handler.handleRequestArrived(a.request());
            case DispatchEvent.CallerDisconnected g -> handler.handleCallerDisconnected(g.request());
            case DispatchEvent.SendFailed n ->
                handler.handleAttemptEnded(
                        n.attempt(), new Verdict.NotRun(Reason.CONNECTION_LOST, NO_UPSTREAM_RETRY_AFTER), 0);
            case DispatchEvent.AnswerHead h -> handler.handleAnswerHead(h);
            case DispatchEvent.AnswerChunk c -> handler.handleAnswerChunk(c);
            case DispatchEvent.AttemptEnded e -> handler.handleAttemptEnded(e.attempt(), e.verdict(), e.length());
            case DispatchEvent.LinkUp u -> directory.markLinkUp(u.upstream());
            case DispatchEvent.LinkDown d -> handler.handleLinkDown(d.upstream());
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

    private static AdmissionKey admissionKey(DispatchRequest request) {
        return new AdmissionKey(request.service(), request.urgency(), request.team());
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

        private void handleRequestArrived(DispatchRequest request) {
            Optional<Verdict.NotRun> refusal = admission.admit(admissionKey(request), nowNanos);
            if (refusal.isPresent()) {
                actions.add(new DispatchAction.RefuseRequest(request.id(), refusal.get()));
                return;
            }
            ServiceFile file = configuration.services().get(request.service());
            if (file == null) {
                refuse(request, Reason.UNKNOWN_SERVICE, Duration.ZERO);
                return;
            }
            retryBudget(request.service()).recordFirstAttempt(file.limits().retryPercent());
            OpenRequest open = new OpenRequest(request);
            openRequests.put(request.id(), open);
            byDeadline.add(request);
            sendNextAttempt(open);
        }

        private void refuse(DispatchRequest request, Reason reason, Duration retryAfter) {
            actions.add(new DispatchAction.RefuseRequest(request.id(), new Verdict.NotRun(reason, retryAfter)));
        }

        /** Sends the next attempt, or finishes the request if its deadline has passed or no upstream is left to try. */
        private void sendNextAttempt(OpenRequest open) {
            DispatchRequest request = open.request;
            if (nowNanos >= request.deadlineNanos()) {
                finish(open, new Verdict.NotRun(Reason.DEADLINE, Duration.ZERO));
                return;
            }
            List<Upstream> accepting = directory.acceptingUpstreams(request.service());
            Optional<Upstream> choice = request.bucket().isPresent()
                    ? router.chooseForBucket(
                            accepting, open.triedUpstreams, request.bucket().get())
                    : router.choose(accepting, open.triedUpstreams, request.urgency());
            if (choice.isEmpty()) {
                finish(open, new Verdict.NotRun(Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER));
                return;
            }
            UpstreamId id = choice.get().vm().id();
            long attempt = nextAttempt++;
            open.beginAttempt(new OpenRequest.Attempt(attempt, id));
            byAttempt.put(attempt, open);
            directory.recordSent(id, request.urgency());
            Duration left = Duration.ofNanos(request.deadlineNanos() - nowNanos);
            Duration remaining = left.compareTo(DEADLINE_SLACK.multipliedBy(2)) > 0 ? left.minus(DEADLINE_SLACK) : left;
            actions.add(
                    new DispatchAction.SendAttempt(attempt, id, request.id(), remaining, open.splitter.eventCount()));
        }

        private Optional<OpenRequest> findByAttempt(long attempt) {
            Optional<OpenRequest> open = Optional.ofNullable(byAttempt.get(attempt));
            if (open.isEmpty()) {
                droppedFrames++;
            }
            return open;
        }

        private void handleAnswerHead(DispatchEvent.AnswerHead head) {
            Optional<OpenRequest> found = findByAttempt(head.attempt());
            if (found.isEmpty()) {
                return;
            }
            OpenRequest open = found.get();
            if (open.status != 0) {
                abortAttempt(open, Reason.ANSWER_BROKEN);
                return;
            }
            open.status = head.status();
            open.contentType = head.contentType();
            open.isStreamed = head.contentType().startsWith(EVENT_STREAM);
            if (open.isStreamBegun && !open.isStreamed) {
                abortAttempt(open, Reason.ANSWER_BROKEN);
            }
        }

        private void handleAnswerChunk(DispatchEvent.AnswerChunk chunk) {
            Optional<OpenRequest> found = findByAttempt(chunk.attempt());
            if (found.isEmpty()) {
                return;
            }
            OpenRequest open = found.get();
            if (open.status == 0 || chunk.offset() != open.receivedBytes) {
                abortAttempt(open, Reason.ANSWER_BROKEN);
                return;
            }
            open.receivedBytes += chunk.data().length;
            UpstreamId upstream = open.currentAttempt.orElseThrow().upstream();
            if (!open.isStreamed) {
                bufferChunk(open, chunk, upstream);
                return;
            }
            byte[] events = open.splitter.append(chunk.data());
            if (events.length == 0) {
                actions.add(new DispatchAction.GrantCredit(chunk.attempt(), upstream, chunk.data().length));
                return;
            }
            if (!open.isStreamBegun) {
                open.isStreamBegun = true;
                actions.add(new DispatchAction.BeginStream(open.request.id(), open.status, open.contentType));
            }
            actions.add(new DispatchAction.SendEvents(
                    open.request.id(), chunk.attempt(), upstream, events, chunk.data().length));
        }

        private void bufferChunk(OpenRequest open, DispatchEvent.AnswerChunk chunk, UpstreamId upstream) {
            if (open.receivedBytes > MAX_BUFFERED_BYTES) {
                abortAttempt(open, Reason.ANSWER_BROKEN);
                return;
            }
            open.body.writeBytes(chunk.data());
            actions.add(new DispatchAction.GrantCredit(chunk.attempt(), upstream, chunk.data().length));
        }

        /** Cancels an attempt whose frames do not form a valid answer. */
        private void abortAttempt(OpenRequest open, Reason reason) {
            OpenRequest.Attempt attempt = open.currentAttempt.orElseThrow();
            actions.add(new DispatchAction.CancelAttempt(attempt.number(), attempt.upstream()));
            handleAttemptEnded(attempt.number(), new Verdict.MayHaveRun(reason), 0);
        }

        private void handleAttemptEnded(long attempt, Verdict verdict, long length) {
            Optional<OpenRequest> found = findByAttempt(attempt);
            if (found.isEmpty()) {
                return;
            }
            OpenRequest open = found.get();
            byAttempt.remove(attempt);
            UpstreamId upstream = open.currentAttempt.orElseThrow().upstream();
            open.currentAttempt = Optional.empty();
            Verdict outcome = verdict instanceof Verdict.Completed c ? checkComplete(open, c, length) : verdict;
            directory.recordEnded(upstream, open.request.urgency(), isUpstreamFailure(outcome));
            open.mayHaveRun |= outcome instanceof Verdict.MayHaveRun;
            retryOrFinish(open, outcome);
        }

        private Verdict checkComplete(OpenRequest open, Verdict.Completed completed, long length) {
            boolean isComplete = open.status != 0
                    && open.receivedBytes == length
                    && (!open.isStreamed || open.splitter.isComplete());
            return isComplete ? completed : new Verdict.MayHaveRun(Reason.ANSWER_BROKEN);
        }

        private void retryOrFinish(OpenRequest open, Verdict outcome) {
            DispatchRequest request = open.request;
            if (open.isStreamBegun && open.splitter.isComplete()) {
                finish(open, new Verdict.Completed(open.status));
                return;
            }
            RetryContext retryContext =
                    new RetryContext(request.isRepeatable(), open.attemptCount, request.deadlineNanos());
            if (RetryPolicy.shouldRetry(retryContext, outcome, retryBudget(request.service()), nowNanos)) {
                retries++;
                sendNextAttempt(open);
                return;
            }
            finish(open, outcome);
        }

        private void finish(OpenRequest open, Verdict verdict) {
            removeRequest(open);
            updateAdmission(open.request, verdict);
            Verdict end = verdict instanceof Verdict.NotRun n && open.mayHaveRun
                    ? new Verdict.MayHaveRun(n.reason())
                    : verdict;
            if (open.isStreamBegun) {
                actions.add(new DispatchAction.EndStream(open.request.id(), end));
                return;
            }
            if (verdict instanceof Verdict.Completed) {
                actions.add(new DispatchAction.SendAnswer(
                        open.request.id(), open.status, open.contentType, open.body.toByteArray()));
                return;
            }
            actions.add(new DispatchAction.RefuseRequest(open.request.id(), end));
        }

        private void updateAdmission(DispatchRequest request, Verdict verdict) {
            switch (verdict) {
                case Verdict.Completed c -> admission.recordAccepted(admissionKey(request));
                case Verdict.NotRun n
                when n.reason() == Reason.OVERLOADED -> admission.recordRefused(admissionKey(request), nowNanos);
                default -> {
                    // Other outcomes carry no information about the load of the service.
                }
            }
        }

        private void removeRequest(OpenRequest open) {
            openRequests.remove(open.request.id());
            byDeadline.remove(open.request);
            open.currentAttempt.ifPresent(a -> {
                byAttempt.remove(a.number());
                directory.recordEnded(a.upstream(), open.request.urgency(), false);
                actions.add(new DispatchAction.CancelAttempt(a.number(), a.upstream()));
            });
            open.currentAttempt = Optional.empty();
        }

        private void handleCallerDisconnected(long request) {
            Optional.ofNullable(openRequests.get(request)).ifPresent(this::removeRequest);
        }

        private void handleLinkDown(UpstreamId upstream) {
            directory.markLinkDown(upstream);
            List<Long> lost = byAttempt.values().stream()
                    .map(open -> open.currentAttempt.orElseThrow())
                    .filter(a -> a.upstream().equals(upstream))
                    .map(OpenRequest.Attempt::number)
                    .toList();
            lost.forEach(number -> handleAttemptEnded(number, new Verdict.MayHaveRun(Reason.CONNECTION_LOST), 0));
        }

        private void updateLinks(UpstreamDirectory.LinkChanges changes) {
            changes.toOpen().forEach(id -> actions.add(new DispatchAction.OpenLink(id)));
            changes.toClose().forEach(id -> actions.add(new DispatchAction.CloseLink(id)));
        }

        private void expireRequests() {
            while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos() <= nowNanos) {
                OpenRequest open = openRequests.get(byDeadline.first().id());
                Verdict verdict = open.currentAttempt.isPresent()
                        ? new Verdict.MayHaveRun(Reason.DEADLINE)
                        : new Verdict.NotRun(Reason.DEADLINE, Duration.ZERO);
                finish(open, verdict);
            }
        }
    }

    private static boolean isUpstreamFailure(Verdict outcome) {
        return outcome instanceof Verdict.MayHaveRun m && m.reason() != Reason.CANCELLED;
    }
}
