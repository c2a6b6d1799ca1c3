package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The status and header fields of an upstream's response.
 *
 * @param status HTTP status
 * @param headers header fields, which must not be modified
 */
public record ResponseHead(int status, HttpHeaders headers) {}
