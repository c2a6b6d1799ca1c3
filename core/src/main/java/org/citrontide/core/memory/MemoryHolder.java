package org.citrontide.core.memory;

import java.util.Locale;

/** What holds memory on behalf of callers and upstreams. */
public enum MemoryHolder {
    /** Heads of callers' requests that are not complete, with the cost of the objects that they become. */
    CALLER_HEADS(true),
    /** Bodies of callers' requests that are not complete, with the decoded heads of these requests. */
    CALLER_BODIES(true),
    /** Complete requests that have no final response yet. */
    WAITING_REQUESTS(false),
    /** Responses of upstreams that are not complete, or not yet passed on. */
    RESPONSES(true),
    /** Output that callers have not read. */
    UNREAD_OUTPUT(true);

    private final boolean isRefusable;

    MemoryHolder(boolean isRefusable) {
        this.isRefusable = isRefusable;
    }

    /**
     * Returns whether memory of this kind can be freed by refusing or closing its owner. A complete request may have
     * been sent to an upstream, so refusing it would not be truthful.
     *
     * @return false if the memory is freed only by its own end
     */
    public boolean isRefusable() {
        return isRefusable;
    }

    /**
     * Returns the key used in logs and metrics.
     *
     * @return lower-case words joined by hyphens
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
