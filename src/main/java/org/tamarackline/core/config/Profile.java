package org.tamarackline.core.config;

import org.tamarackline.core.model.ProfileName;

/**
 * A named set of scheduling parameters, edited by operators and chosen by services and jobs.
 *
 * @param name name of the profile
 * @param serviceClass kind of work that the profile is for
 * @param latencyBoundMs bound on the time to a response or to the start of a task, in milliseconds; 0 means no bound
 * @param priority priority from 0 to 1000; larger values are served first
 * @param share relative share of capacity under contention, 1 to 1000
 * @param checkpointAllowed whether a task may be checkpointed and evicted
 * @param idempotent whether requests may be sent again after a failure
 * @param ratePerHour number of tasks to finish per hour; 0 means no rate
 * @param finishWithinMs time from submission within which a task has to finish, in milliseconds; 0 means no limit
 * @param tailWeight weight of tail latency in placement, 0 to 100
 * @param throughputWeight weight of batch throughput in placement, 0 to 100
 * @param evictionWeight weight of avoided evictions in placement, 0 to 100
 */
public record Profile(
        ProfileName name,
        ServiceClass serviceClass,
        long latencyBoundMs,
        int priority,
        int share,
        boolean checkpointAllowed,
        boolean idempotent,
        long ratePerHour,
        long finishWithinMs,
        int tailWeight,
        int throughputWeight,
        int evictionWeight) {}
