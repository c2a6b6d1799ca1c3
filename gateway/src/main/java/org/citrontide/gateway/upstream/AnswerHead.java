package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Status and headers of an upstream's answer.
 *
 * @param status HTTP status
 * @param headers header fields, not to be changed
 */
public record AnswerHead(int status, HttpHeaders headers) {}
