package org.citrontide.core.faults;

/** A point in the processing of a request at which a fault can be injected. */
enum InjectionPoint {
    ATTEMPT_SENT,
    CLAIM_READ,
    CLAIM_WRITE,
    CLAIM_REPLY,
    CALL_START,
    CALL_RUNNING,
    ANSWER_HEAD,
    ANSWER_CHUNK,
    ANSWER_END
}
