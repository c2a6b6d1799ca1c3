package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.citrontide.core.costing.PlacementReport;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.core.quarantine.PromptQuarantine;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.core.warmup.ColdChange;

/** An action that a {@link GatewayDispatcher} requests from its shell. Immutable. */
public sealed interface GatewayAction {

    /**
     * Sends an attempt. A stream whose caller already received events resumes after the last one.
     *
     * @param request the request
     * @param attempt number of the attempt, unique within a process
     * @param upstream upstream to send the attempt to
     * @param remaining time remaining until the deadline of the request
     * @param admissionRank rank in the admission order of the upstream, 0 first
     * @param retry why the request is sent again, empty for its first attempt and for one that replaces an attempt
     *     whose upstream was unreachable
     */
    record SendAttempt(
            GatewayRequest request,
            long attempt,
            ListedUpstream upstream,
            Duration remaining,
            int admissionRank,
            Optional<Retry> retry)
            implements GatewayAction {}

    /**
     * Why a request is sent again, and the retry budget that allowed it.
     *
     * @param reason why the earlier attempt is not enough
     * @param budget the retry budget of the service, after this retry
     */
    record Retry(Reason reason, RetryBudgetState budget) {}

    /**
     * Reports that a request could have been sent again if the retry budget were not exhausted. Occurs at most once for
     * a request.
     *
     * @param request the request
     * @param retry why the request would have been sent again, and the budget that denied it
     */
    record ReportRetryDenied(GatewayRequest request, Retry retry) implements GatewayAction {}

    /**
     * Cancels an attempt whose response is no longer needed.
     *
     * @param attempt number of the attempt
     */
    record CancelAttempt(long attempt) implements GatewayAction {}

    /**
     * Gives an attempt up if the writing of its request has not begun; the attempt then ends as
     * {@link AttemptOutcome.Withdrawn}. Otherwise the attempt goes on.
     *
     * @param attempt number of the attempt
     */
    record WithdrawAttempt(long attempt) implements GatewayAction {}

    /**
     * Sends the response of an attempt, which the shell holds, to the caller.
     *
     * @param request number of the request
     * @param attempt number of the attempt
     */
    record DeliverResponse(long request, long attempt) implements GatewayAction {}

    /**
     * Refuses a request whose response has not started.
     *
     * @param request number of the request
     * @param verdict outcome of the request
     */
    record RefuseRequest(long request, Verdict verdict) implements GatewayAction {}

    /**
     * Aborts a response that has started, in such a way that the caller can't mistake it for a complete one.
     *
     * @param request number of the request
     * @param verdict outcome of the request
     */
    record AbortResponse(long request, Verdict verdict) implements GatewayAction {}

    /**
     * Queries the speed of upstreams and the state of their groups. An upstream that doesn't respond causes no event.
     *
     * @param upstreams the upstreams to query
     */
    record QuerySpeeds(List<ListedUpstream> upstreams) implements GatewayAction {

        /** Copies the list. */
        public QuerySpeeds {
            upstreams = List.copyOf(upstreams);
        }
    }

    /**
     * Reports that the group of a service was detected to be down, or to have recovered.
     *
     * @param service name of the service
     * @param isDown whether the group is down
     * @param waiting number of requests that wait for the group
     * @param expectedOutage how long the outage is expected to last at most, empty if it ended or nothing is known
     */
    record ReportGroupState(String service, boolean isDown, int waiting, Optional<Duration> expectedOutage)
            implements GatewayAction {

        /** Creates a report without an expected duration. */
        ReportGroupState(String service, boolean isDown, int waiting) {
            this(service, isDown, waiting, Optional.empty());
        }
    }

    /**
     * Reports that one of several groups of a service receives no requests because it lost a member, or receives them
     * again.
     *
     * @param group name of the group, unique among all services
     * @param isAvailable whether the group receives requests
     */
    record ReportGroupAvailability(String group, boolean isAvailable) implements GatewayAction {}

    /**
     * Reports that an upstream named another rate limit, or none any more.
     *
     * @param upstream the upstream
     * @param perSecond requests per second that it takes from all gateways, empty without a limit
     */
    record ReportRateLimit(ListedUpstream upstream, OptionalDouble perSecond) implements GatewayAction {}

    /**
     * Reports that an upstream is left alone from now on, or for longer than before.
     *
     * @param upstream the upstream
     * @param duration time from now
     */
    record ReportBackoff(ListedUpstream upstream, Duration duration) implements GatewayAction {}

    /**
     * Reports that an upstream became cold, began to warm up, or became warm.
     *
     * @param change the change
     */
    record ReportCold(ColdChange change) implements GatewayAction {}

    /**
     * Reports that the limits of cold upstreams keep a request from being sent now. Occurs at most once for a request.
     *
     * @param request the request
     */
    record ReportHeldBack(GatewayRequest request) implements GatewayAction {}

    /**
     * Reports why a request was placed where it was. Occurs at most every few seconds for a service.
     *
     * @param report the placement, and how well costs were predicted
     */
    record ReportPlacement(PlacementReport report) implements GatewayAction {}

    /**
     * Checks whether an upstream crashed, by opening a connection to it. The result is an event.
     *
     * @param upstream the upstream to check
     */
    record CheckUpstream(ListedUpstream upstream) implements GatewayAction {}

    /**
     * Reports an observation on a crash to all gateways.
     *
     * @param evidence the observation
     */
    record PublishEvidence(CrashEvidence evidence) implements GatewayAction {}

    /**
     * Reports that a part of prompts entered or left quarantine.
     *
     * @param decision the change
     */
    record ReportQuarantine(PromptQuarantine.Decision decision) implements GatewayAction {}
}
