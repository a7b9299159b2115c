package org.tamarackline.entry.proxy;

/**
 * The body of an error answer.
 *
 * @param code stable code
 * @param detail what was wrong and how to correct it
 * @param executed whether the request ran
 */
public record ErrorBody(ErrorCode code, String detail, Executed executed) {}
