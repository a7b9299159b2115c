package org.tamarackline.entry.proxy;

import org.tamarackline.entry.Executed;

/**
 * The body of an error answer.
 *
 * @param code stable code
 * @param detail what was wrong and how to correct it
 * @param executed whether the request ran
 */
public record ErrorBody(RequestErrorCode code, String detail, Executed executed) {}
