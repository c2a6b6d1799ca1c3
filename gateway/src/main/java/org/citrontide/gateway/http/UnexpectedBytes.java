package org.citrontide.gateway.http;

/**
 * A message of {@link ResponseDecoder}: bytes arrived while no response was due. The connection can't be used any more.
 *
 * @param count number of bytes
 */
public record UnexpectedBytes(int count) {}
