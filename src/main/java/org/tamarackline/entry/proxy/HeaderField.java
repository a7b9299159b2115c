package org.tamarackline.entry.proxy;

/**
 * One header line.
 *
 * @param name name as received
 * @param value value as received
 */
public record HeaderField(String name, String value) {}
