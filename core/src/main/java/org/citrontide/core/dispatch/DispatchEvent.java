package org.citrontide.core.dispatch;

import java.util.List;

import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.verdict.Verdict;

/** An event that a {@link Dispatcher} handles. Immutable; arrays must not be modified. */
public sealed interface DispatchEvent {

    /**
     * A caller's request passed the filters.
     *
     * @param request the request
     */
    record RequestArrived(DispatchRequest request) implements DispatchEvent {}

    /**
     * The caller disconnected.
     *
     * @param request number of the request
     */
    record CallerDisconnected(long request) implements DispatchEvent {}

    /**
     * The frame of an attempt could not be sent completely, so that the sidecar cannot have run the attempt.
     *
     * @param attempt number of the attempt
     */
    record SendFailed(long attempt) implements DispatchEvent {}

    /**
     * The head of an answer arrived.
     *
     * @param attempt number of the attempt
     * @param status HTTP status
     * @param contentType media type, empty if unknown
     */
    record AnswerHead(long attempt, int status, String contentType) implements DispatchEvent {}

    /**
     * A part of the body of an answer arrived.
     *
     * @param attempt number of the attempt
     * @param offset position of the first byte within the body
     * @param data bytes of the part
     */
    record AnswerChunk(long attempt, long offset, byte[] data) implements DispatchEvent {}

    /**
     * A sidecar reported the end of an attempt.
     *
     * @param attempt number of the attempt
     * @param verdict outcome of the attempt
     * @param length length of the complete body in bytes, valid only if the attempt completed
     */
    record AttemptEnded(long attempt, Verdict verdict, long length) implements DispatchEvent {}

    /**
     * A link to a sidecar was established.
     *
     * @param upstream upstream of the sidecar
     */
    record LinkUp(UpstreamId upstream) implements DispatchEvent {}

    /**
     * A link to a sidecar was lost or closed.
     *
     * @param upstream upstream of the sidecar
     */
    record LinkDown(UpstreamId upstream) implements DispatchEvent {}

    /**
     * A sidecar reported its load and readiness.
     *
     * @param upstream upstream of the sidecar
     * @param report the report
     */
    record ReportReceived(UpstreamId upstream, SidecarReport report) implements DispatchEvent {}

    /**
     * The platform's list of VMs changed.
     *
     * @param vms all VMs with a sidecar in the zones that this entry uses
     */
    record VmListChanged(List<ListedVm> vms) implements DispatchEvent {}

    /**
     * A new configuration took effect.
     *
     * @param configuration the new configuration
     */
    record ConfigurationChanged(Configuration configuration) implements DispatchEvent {}

    /** Time advanced; requests may have expired. */
    record Tick() implements DispatchEvent {}
}
