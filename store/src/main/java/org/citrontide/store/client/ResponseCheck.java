package org.citrontide.store.client;

import org.eclipse.jetty.client.HttpResponseException;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;

/**
 * Rejects responses that the HTTP client accepts although they violate the grammar of HTTP or have a transfer coding
 * that it doesn't remove.
 *
 * <p>Invariant: the request of a rejected response fails with an {@link HttpResponseException} before the head is
 * passed to its listeners, and the connection is closed. Stateless and thread-safe.
 */
public final class ResponseCheck {
    // Interim responses that the client knows are skipped; any other would be taken for the only response.
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private ResponseCheck() {}

    /**
     * Adds the check to a request that was not sent yet.
     *
     * @param request the request
     * @return the same request
     */
    public static Request addTo(Request request) {
        return request.onResponseBegin(ResponseCheck::checkStatusLine).onResponseHeader(ResponseCheck::checkField);
    }

    private static void checkStatusLine(Response response) {
        HttpVersion version = response.getVersion();
        int status = response.getStatus();
        if (version != HttpVersion.HTTP_1_0 && version != HttpVersion.HTTP_1_1) {
            reject(response, "version " + version);
        } else if (status < MIN_STATUS || status > MAX_STATUS) {
            reject(response, "status code " + status);
        }
    }

    private static boolean checkField(Response response, HttpField field) {
        boolean isUnknownCoding =
                field.getHeader() == HttpHeader.TRANSFER_ENCODING && !HttpHeaderValue.CHUNKED.is(field.getValue());
        if (isUnknownCoding) {
            reject(response, "transfer coding " + field.getValue());
        }
        return !isUnknownCoding;
    }

    private static void reject(Response response, String reason) {
        response.abort(new HttpResponseException("malformed response, " + reason, response));
    }
}
