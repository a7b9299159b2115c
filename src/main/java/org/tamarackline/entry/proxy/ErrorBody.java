package org.tamarackline.entry.proxy;

import org.tamarackline.entry.Executed;

/**
 * The body of an error response to a caller.
 *
 * @param code stable error code
 * @param detail what was wrong and, if the caller can correct it, how
 * @param executed whether the request was executed
 */
public record ErrorBody(RequestErrorCode code, String detail, Executed executed) {}
