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

/** Checks what the dispatcher answers after attempts that ended in different ways. */
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
        on(new DispatchEvent.Configured(c));
        on(new DispatchEvent.Listed(List.of(vm(A), vm(B))));
        for (UpstreamId id : List.of(A, B)) {
            on(new DispatchEvent.LinkUp(id));
            on(new DispatchEvent.Report(id, new SidecarReport(true, 0, 0, 0, 4, 0)));
        }
    }

    @Test
    void refusalAfterLostAttemptIsMayHaveRun() {
        DispatchAction.Send first = arrive(1, true);
        List<DispatchAction> second = on(new DispatchEvent.LinkDown(first.upstream()));
        long attempt =
                assertInstanceOf(DispatchAction.Send.class, second.getFirst()).attempt();
        Verdict verdict = refusedAfterRetries(attempt);
        assertInstanceOf(Verdict.MayHaveRun.class, verdict);
    }

    @Test
    void refusalByAllIsNotRunWithTheTimeToComeBack() {
        DispatchAction.Send first = arrive(1, false);
        assertEquals(OVERLOADED, refusedAfterRetries(first.attempt()));
    }

    @Test
    void unrepeatableRequestIsNotSentAgainAfterItMayHaveRun() {
        DispatchAction.Send first = arrive(1, false);
        List<DispatchAction> out = on(new DispatchEvent.LinkDown(first.upstream()));
        assertEquals(List.of(new DispatchAction.Refuse(1, new Verdict.MayHaveRun(Reason.CONNECTION_LOST))), out);
    }

    @Test
    void answerShorterThanAnnouncedIsNoAnswer() {
        DispatchAction.Send first = arrive(1, false);
        on(new DispatchEvent.Head(first.attempt(), 200, "text/plain"));
        on(new DispatchEvent.Chunk(first.attempt(), 0, "half".getBytes(StandardCharsets.UTF_8)));
        List<DispatchAction> out = on(new DispatchEvent.Ended(first.attempt(), new Verdict.Completed(200), 8));
        assertEquals(List.of(new DispatchAction.Refuse(1, new Verdict.MayHaveRun(Reason.ANSWER_BROKEN))), out);
    }

    @Test
    void drainingUpstreamGetsNoNewWork() {
        on(new DispatchEvent.Report(A, new SidecarReport(false, 0, 0, 0, 4, 0)));
        for (int i = 1; i <= 20; i++) {
            assertEquals(B, arrive(i, true).upstream());
        }
    }

    private Verdict refusedAfterRetries(long firstAttempt) {
        long attempt = firstAttempt;
        while (true) {
            DispatchAction next =
                    on(new DispatchEvent.Ended(attempt, OVERLOADED, 0)).getFirst();
            if (next instanceof DispatchAction.Refuse r) {
                return r.verdict();
            }
            attempt = assertInstanceOf(DispatchAction.Send.class, next).attempt();
        }
    }

    private DispatchAction.Send arrive(long id, boolean repeatable) {
        DispatchRequest r = new DispatchRequest(
                id, "booking", "ashworth", Urgency.LIVE, 1, repeatable, Optional.empty(), 10 * SECOND);
        return assertInstanceOf(
                DispatchAction.Send.class, on(new DispatchEvent.Arrived(r)).getFirst());
    }

    private List<DispatchAction> on(DispatchEvent event) {
        return dispatcher.on(event, SECOND);
    }

    private static ListedVm vm(UpstreamId id) {
        return new ListedVm(id.host(), "mill-brook", "booking", id, false);
    }
}
