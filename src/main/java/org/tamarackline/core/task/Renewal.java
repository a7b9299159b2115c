package org.tamarackline.core.task;

import java.util.Optional;

import org.tamarackline.core.model.WorkerId;

/**
 * A renewal to send.
 *
 * @param worker worker to send it to
 * @param nonce nonce to name; empty to learn the task list without extending a lease
 * @param sequence position among the events of the rack at the time of sending
 */
public record Renewal(WorkerId worker, Optional<String> nonce, long sequence) {}
