package org.tamarackline.core.task;

import org.tamarackline.core.model.Resources;

/**
 * What a rack has to offer, as told to other nodes.
 *
 * @param capacity sum over the workers in use
 * @param free sum of what tasks may take up that are not urgent
 * @param largestFree the largest such amount of one worker
 * @param largestWorker largest capacity of one worker in each part
 * @param waiting tasks that wait for a worker
 * @param complete whether every worker has told its capacity, so that a larger worker does not exist
 */
public record RackLoad(
        Resources capacity,
        Resources free,
        Resources largestFree,
        Resources largestWorker,
        int waiting,
        boolean complete) {}
