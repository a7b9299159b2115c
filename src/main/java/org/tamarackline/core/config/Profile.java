package org.tamarackline.core.config;

import org.tamarackline.core.model.ProfileName;

/**
 * A named set of rules that operators edit and services choose from.
 *
 * @param name name of the profile
 * @param serviceClass kind of work
 * @param latencyBoundMs longest useful time to an answer or to a task's start, in milliseconds; 0 means no bound
 * @param priority larger values go first, 0 to 1000
 * @param share relative share of capacity under contention, 1 to 1000
 * @param checkpointAllowed whether a task may be checkpointed and evicted to make room
 * @param idempotent whether requests may be sent again after a failure
 * @param ratePerHour tasks to finish an hour, 0 for no steady rate
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
