package org.tamarackline.core.task;

import org.tamarackline.core.model.Resources;

/**
 * The capacity and load of a rack, as sent to other nodes, which use it to choose the rack of a job.
 *
 * @param capacity total capacity of the workers in use
 * @param free total capacity that tasks may still occupy that are not latency-critical
 * @param largestFree the largest such capacity of one worker
 * @param largestWorker largest capacity of any worker, by resource
 * @param waiting number of tasks that wait for a worker
 * @param complete whether every worker has reported its capacity, so that no worker is larger than {@code largestWorker}
 */
public record RackLoad(
        Resources capacity,
        Resources free,
        Resources largestFree,
        Resources largestWorker,
        int waiting,
        boolean complete) {}
