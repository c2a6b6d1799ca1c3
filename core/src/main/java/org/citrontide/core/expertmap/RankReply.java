package org.citrontide.core.expertmap;

/** What came back on an order. */
public enum RankReply {
    /** It is carried out, or its result already holds. */
    DONE,
    /** It does not fit the rank's state. */
    REFUSED,
    /** Nothing came back: it may be carried out at any later time. */
    UNANSWERED
}
