package org.tamarackline.process.soak;

import java.util.List;

/**
 * Result of a soak.
 *
 * @param violations rules that were broken, each with what the logs say
 * @param summary figures of the soak
 */
public record SoakReport(List<String> violations, List<String> summary) {}
