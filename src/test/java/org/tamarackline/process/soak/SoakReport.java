package org.tamarackline.process.soak;

import java.util.List;

/**
 * Result of a soak.
 *
 * @param violations rules that were broken, each with what the logs say
 * @param faults number of injected faults
 * @param longRunningJobs number of accepted jobs with long-running tasks
 * @param checkedCancellations number of cancellations whose bound ended at a calm moment
 * @param summary figures of the soak
 */
public record SoakReport(
        List<String> violations, int faults, long longRunningJobs, long checkedCancellations, List<String> summary) {}
