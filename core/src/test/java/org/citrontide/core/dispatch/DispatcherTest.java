package org.citrontide.core.dispatch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.membership.UpstreamSubset;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests the verdicts and retries of the dispatcher for attempts that end in different ways. */
final class DispatcherTest {
    private static final long SECOND = 1_000_000_000L;
    private static final String FILE = """
            kind = "plain"
            service = "booking"
            [[calls]]
            path = "/"
            """;
    private static final UpstreamId A = new UpstreamId("10.0.0.1", 1);
    private static final UpstreamId B = new UpstreamId("10.0.0.2", 1);
    private static final Verdict OVERLOADED = new Verdict.NotRun(Reason.OVERLOADED, Duration.ofSeconds(2));

    private final Dispatcher dispatcher =
            new Dispatcher("mill-brook", new UpstreamSubset("entry", "mill-brook", 100_000), new SplittableRandom(1));

    @BeforeEach
    void connect() {
        Configuration c = Configuration.check(1, Map.of("b.toml", new Configuration.FileText(1, FILE)))
                .value()
                .orElseThrow();
        handle(new DispatchEvent.ConfigurationChanged(c));
        handle(new DispatchEvent.VmListChanged(List.of(vm(A), vm(B))));
        for (UpstreamId id : List.of(A, B)) {
            handle(new DispatchEvent.LinkUp(id));
            handle(new DispatchEvent.ReportReceived(id, new SidecarReport(true, 0, 0, 0, 4, 0)));
        }
    }

    @Test
    void refusalAfterLostAttemptIsMayHaveRun() {
        DispatchAction.SendAttempt first = arrive(1, true);
        List<DispatchAction> second = handle(new DispatchEvent.LinkDown(first.upstream()));
        long attempt = assertInstanceOf(DispatchAction.SendAttempt.class, second.getFirst())
                .attempt();
        Verdict verdict = verdictAfterRetriesAreRefused(attempt);
        assertInstanceOf(Verdict.MayHaveRun.class, verdict);
    }

    @Test
    void refusalByAllUpstreamsIsNotRunWithRetryAfter() {
        DispatchAction.SendAttempt first = arrive(1, false);
        assertEquals(OVERLOADED, verdictAfterRetriesAreRefused(first.attempt()));
    }

    @Test
    void nonRepeatableRequestIsNotRetriedAfterItMayHaveRun() {
        DispatchAction.SendAttempt first = arrive(1, false);
        List<DispatchAction> actions = handle(new DispatchEvent.LinkDown(first.upstream()));
        assertEquals(
                List.of(new DispatchAction.RefuseRequest(1, new Verdict.MayHaveRun(Reason.CONNECTION_LOST))), actions);
    }

    @Test
    void answerShorterThanAnnouncedLengthIsRejected() {
        DispatchAction.SendAttempt first = arrive(1, false);
        handle(new DispatchEvent.AnswerHead(first.attempt(), 200, "text/plain"));
        handle(new DispatchEvent.AnswerChunk(first.attempt(), 0, "half".getBytes(StandardCharsets.UTF_8)));
        List<DispatchAction> actions =
                handle(new DispatchEvent.AttemptEnded(first.attempt(), new Verdict.Completed(200), 8));
        assertEquals(
                List.of(new DispatchAction.RefuseRequest(1, new Verdict.MayHaveRun(Reason.ANSWER_BROKEN))), actions);
    }

    @Test
    void drainingUpstreamGetsNoNewRequests() {
        handle(new DispatchEvent.ReportReceived(A, new SidecarReport(false, 0, 0, 0, 4, 0)));
        for (int i = 1; i <= 20; i++) {
            assertEquals(B, arrive(i, true).upstream());
        }
    }

    private Verdict verdictAfterRetriesAreRefused(long firstAttempt) {
        long attempt = firstAttempt;
        while (true) {
            DispatchAction next = handle(new DispatchEvent.AttemptEnded(attempt, OVERLOADED, 0))
                    .getFirst();
            if (next instanceof DispatchAction.RefuseRequest r) {
                return r.verdict();
            }
            attempt = assertInstanceOf(DispatchAction.SendAttempt.class, next).attempt();
        }
    }

    private DispatchAction.SendAttempt arrive(long id, boolean repeatable) {
        DispatchRequest r = new DispatchRequest(
                id, "booking", "ashworth", Urgency.LIVE, 1, repeatable, Optional.empty(), 10 * SECOND);
        return assertInstanceOf(
                DispatchAction.SendAttempt.class,
                handle(new DispatchEvent.RequestArrived(r)).getFirst());
    }

    private List<DispatchAction> handle(DispatchEvent event) {
        return dispatcher.handle(event, SECOND);
    }

    private static ListedVm vm(UpstreamId id) {
        return new ListedVm(id.host(), "mill-brook", "booking", id, false);
    }
}
