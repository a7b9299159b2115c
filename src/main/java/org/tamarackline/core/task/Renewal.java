package org.tamarackline.core.task;

import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/**
 * A renewal of a worker's lease to send. The response also brings the task list of the worker.
 *
 * @param worker worker to send it to
 * @param nonce nonce of the worker's last response; empty to get the task list without extending the lease
 * @param sequence sequence number among the events of the rack when the renewal was created
 */
public record Renewal(WorkerId worker, Optional<String> nonce, long sequence) {}
