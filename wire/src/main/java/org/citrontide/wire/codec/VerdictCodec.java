package org.citrontide.wire.codec;

import java.time.Duration;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.wire.generated.AnswerEnd;

/** Turns verdicts into the last frame of an answer and back. Stateless and safe for use by many threads. */
public final class VerdictCodec {
    private VerdictCodec() {}

    /**
     * Builds the last frame of an answer.
     *
     * @param id number of the attempt
     * @param verdict its outcome
     * @param length length of the whole body in bytes, of use only if it completed
     * @return the frame's builder, without the load report
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
     * Reads the outcome from the last frame of an answer. A kind or reason from a newer version counts as one that may
     * have run.
     *
     * @param end the frame
     * @param status HTTP status from the answer's head
     * @return the outcome
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
