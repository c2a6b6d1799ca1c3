package org.citrontide.core.publication;

/**
 * How calls of one method and path prefix are treated. Immutable.
 *
 * @param method HTTP method in upper case
 * @param path prefix of the path, from its first slash
 * @param repeatable whether running the call twice does no harm
 * @param urgency the most urgent class that a call may ask for, and its class if it asks for none
 */
public record CallRule(String method, String path, boolean repeatable, Urgency urgency) {

    /**
     * Says whether this rule covers a call.
     *
     * @param otherMethod HTTP method
     * @param otherPath path of the call
     * @return true if the method is equal and the path begins with this rule's path
     */
    public boolean covers(String otherMethod, String otherPath) {
        if (!method.equals(otherMethod) || !otherPath.startsWith(path)) {
            return false;
        }
        return otherPath.length() == path.length()
                || path.endsWith("/")
                || otherPath.charAt(path.length()) == '/'
                || otherPath.charAt(path.length()) == '?';
    }
}
