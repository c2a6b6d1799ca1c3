package org.citrontide.core.faults;

/** What can go wrong at a step. */
enum Fault {
    KILL_SIDECAR,
    KILL_ENTRY,
    FREEZE_SIDECAR_A_MINUTE,
    FREEZE_SIDECAR_PAST_WINDOW,
    CUT_LINK,
    LOSE_MESSAGE,
    DOUBLE_MESSAGE,
    DELAY_MESSAGE,
    STORE_DOWN,
    STORE_ANSWER_LOST,
    UPSTREAM_BREAKS,
    DRAIN_SIDECAR,
    CALLER_ASKS_AGAIN
}
