package org.citrontide.core.publication;

/**
 * The rule for calls with a given method and path prefix. Immutable.
 *
 * @param method HTTP method in upper case
 * @param path prefix of the path, with its leading slash
 * @param isRepeatable whether the call is idempotent, so that it may be executed more than once
 * @param urgency the most urgent class that a call may request, and the default class of a call that requests none
 */
public record CallRule(String method, String path, boolean isRepeatable, Urgency urgency) {

    /**
     * Returns whether this rule applies to a call.
     *
     * @param otherMethod HTTP method
     * @param otherPath path of the call
     * @return true if the methods are equal and the path starts with this rule's path, at a segment boundary
     */
    public boolean matches(String otherMethod, String otherPath) {
        if (!method.equals(otherMethod) || !otherPath.startsWith(path)) {
            return false;
        }
        return otherPath.length() == path.length()
                || path.endsWith("/")
                || otherPath.charAt(path.length()) == '/'
                || otherPath.charAt(path.length()) == '?';
    }
}
