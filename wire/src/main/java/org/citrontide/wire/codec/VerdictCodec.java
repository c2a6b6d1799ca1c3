package org.citrontide.wire.codec;

import java.time.Duration;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.wire.generated.AnswerEnd;

/** Encodes verdicts in the last frame of a response and decodes them. Stateless and thread-safe. */
public final class VerdictCodec {
    private VerdictCodec() {}

    /**
     * Builds the last frame of a response.
     *
     * @param id identifier of the attempt
     * @param verdict outcome of the attempt
     * @param length length of the whole response body in bytes, meaningful only for a completed attempt
     * @return the builder of the frame, with the load report unset
     */
    public static AnswerEnd.Builder encode(long id, Verdict verdict, long length) {
        AnswerEnd.Builder b = AnswerEnd.newBuilder().setId(id).setLength(length);
        return switch (verdict) {
            case Verdict.Completed c -> b.setKind(AnswerEnd.Kind.COMPLETED);
            case Verdict.NotRun n ->
                b.setKind(AnswerEnd.Kind.NOT_RUN).setReason(n.reason().key()).setRetryAfterMs((int)
                        n.retryAfter().toMillis());
            case Verdict.MayHaveRun m ->
                b.setKind(AnswerEnd.Kind.MAY_HAVE_RUN).setReason(m.reason().key());
        };
    }

    /**
     * Decodes the outcome from the last frame of a response. An unknown kind, as a newer version may send, decodes as
     * may have run; an unknown reason as {@link Reason#CONNECTION_LOST}.
     *
     * @param end the last frame
     * @param status HTTP status from the response head
     * @return the outcome of the attempt
     */
    public static Verdict decode(AnswerEnd end, int status) {
        Reason reason = Reason.ofKey(end.getReason()).orElse(Reason.CONNECTION_LOST);
        return switch (end.getKind()) {
            case COMPLETED -> new Verdict.Completed(status);
            case NOT_RUN -> new Verdict.NotRun(reason, Duration.ofMillis(end.getRetryAfterMs()));
            case MAY_HAVE_RUN, UNRECOGNIZED -> new Verdict.MayHaveRun(reason);
        };
    }
}
