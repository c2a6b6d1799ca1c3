package org.citrontide.core.faults;

/** Points of a request's way at which a fault can strike. */
enum Step {
    ATTEMPT_SENT,
    CLAIM_READ,
    CLAIM_WRITE,
    CLAIM_WRITE_ANSWER,
    CALL_LEAVING,
    CALL_RUNNING,
    ANSWER_HEAD,
    ANSWER_CHUNK,
    ANSWER_END
}
