package org.citrontide.entry.filter;

import java.util.Optional;

import org.citrontide.core.publication.CallRule;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.publication.Urgency;
import org.citrontide.core.verdict.Reason;

/**
 * Finds the rule of the call and sets the urgency class. A caller may request a less urgent class than that of the
 * rule, but not a more urgent one. Stateless and thread-safe.
 */
public final class CallRuleFilter implements RequestFilter {
    @Override
    public Optional<Refusal> apply(RequestContext context) {
        ServiceFile file = context.service.orElseThrow();
        Optional<CallRule> rule = file.findRule(context.method, context.upstreamPath);
        if (rule.isEmpty()) {
            return Optional.of(Refusal.of(
                    Reason.UNKNOWN_SERVICE, "service " + file.service() + " has no rule for this method and path"));
        }
        context.isRepeatable = rule.get().isRepeatable();
        context.urgency = rule.get().urgency();
        if (context.headers.urgency().isEmpty()) {
            return Optional.empty();
        }
        Optional<Urgency> requestedUrgency =
                Urgency.ofExternalName(context.headers.urgency().get());
        if (requestedUrgency.isEmpty()) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "Urgency must be live, daily or overnight"));
        }
        if (requestedUrgency.get().compareTo(context.urgency) > 0) {
            context.urgency = requestedUrgency.get();
        }
        return Optional.empty();
    }
}
