package org.citrontide.entry.filter;

import java.util.Optional;

import org.citrontide.core.publication.CallRule;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.verdict.Reason;

/**
 * Finds the rule for the call and the urgency class. A caller may ask for a less urgent class than the rule's, never
 * for a more urgent one. Stateless and safe for use by many threads.
 */
public final class CallFilter implements RequestFilter {
    @Override
    public Optional<Refusal> apply(RequestContext c) {
        ServiceFile file = c.service.orElseThrow();
        Optional<CallRule> rule = file.findRule(c.method, c.upstreamPath);
        if (rule.isEmpty()) {
            return Optional.of(Refusal.of(Reason.UNKNOWN_SERVICE, "service " + file.service() + " has no such call"));
        }
        c.repeatable = rule.get().repeatable();
        c.urgency = rule.get().urgency();
        if (c.headers.urgency().isEmpty()) {
            return Optional.empty();
        }
        Optional<Urgency> asked = Urgency.ofExternalName(c.headers.urgency().get());
        if (asked.isEmpty()) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "Urgency must be live, daily or overnight"));
        }
        if (asked.get().compareTo(c.urgency) > 0) {
            c.urgency = asked.get();
        }
        return Optional.empty();
    }
}
