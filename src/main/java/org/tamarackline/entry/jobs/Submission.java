package org.tamarackline.entry.jobs;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * Validated submission of a job.
 *
 * @param team team whose quota and usage the tasks count towards
 * @param profile profile by which the tasks are scheduled
 * @param tasks number of tasks
 * @param command what each task runs
 * @param resources declared resource demand of each task
 * @param idempotencyKey key that makes a repeated submission return the same job
 */
public record Submission(
        TeamName team,
        ProfileName profile,
        int tasks,
        JsonNode command,
        Resources resources,
        Optional<String> idempotencyKey) {}
