package org.citrontide.core.dispatch;

import java.util.List;

import org.citrontide.core.membership.ListedVm;
import org.citrontide.core.membership.SidecarReport;
import org.citrontide.core.membership.UpstreamId;
import org.citrontide.core.publication.Configuration;
import org.citrontide.core.verdict.Verdict;

/** What happens to a {@link Dispatcher}. Immutable; arrays must not be changed. */
public sealed interface DispatchEvent {

    /**
     * A caller's request passed the filters.
     *
     * @param request the request
     */
    record Arrived(DispatchRequest request) implements DispatchEvent {}

    /**
     * The caller went away.
     *
     * @param request number of the request
     */
    record CallerGone(long request) implements DispatchEvent {}

    /**
     * The frame of an attempt did not go out whole.
     *
     * @param attempt number of the attempt
     */
    record NotSent(long attempt) implements DispatchEvent {}

    /**
     * The answer of an attempt began.
     *
     * @param attempt number of the attempt
     * @param status HTTP status
     * @param contentType media type, empty if unknown
     */
    record Head(long attempt, int status, String contentType) implements DispatchEvent {}

    /**
     * A part of an answer arrived.
     *
     * @param attempt number of the attempt
     * @param offset position of the first byte in the body
     * @param data the bytes
     */
    record Chunk(long attempt, long offset, byte[] data) implements DispatchEvent {}

    /**
     * A sidecar said how an attempt ended.
     *
     * @param attempt number of the attempt
     * @param verdict its outcome
     * @param length length of the whole body in bytes, of use only if it completed
     */
    record Ended(long attempt, Verdict verdict, long length) implements DispatchEvent {}

    /**
     * A link to a sidecar is up.
     *
     * @param upstream its upstream
     */
    record LinkUp(UpstreamId upstream) implements DispatchEvent {}

    /**
     * A link to a sidecar ended.
     *
     * @param upstream its upstream
     */
    record LinkDown(UpstreamId upstream) implements DispatchEvent {}

    /**
     * A sidecar told its state.
     *
     * @param upstream its upstream
     * @param report the state
     */
    record Report(UpstreamId upstream, SidecarReport report) implements DispatchEvent {}

    /**
     * The platform's list changed.
     *
     * @param vms all VMs with a sidecar in the zones that this entry uses
     */
    record Listed(List<ListedVm> vms) implements DispatchEvent {}

    /**
     * A configuration is in force.
     *
     * @param configuration the configuration
     */
    record Configured(Configuration configuration) implements DispatchEvent {}

    /** Time passed. */
    record Tick() implements DispatchEvent {}
}
