package org.citrontide.core.expertmap;

/** The outcome of an order as seen by its sender. */
public enum OrderOutcome {
    /** The order was carried out, or had been carried out before. */
    DONE,
    /** The order does not fit the state of the rank. */
    REFUSED,
    /** No reply arrived in time. The order may still be carried out at any later time. */
    UNANSWERED
}
