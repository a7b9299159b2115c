package org.tamarackline.entry.jobs;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * A checked submission of a caller.
 *
 * @param team team whose quota and usage the job counts against
 * @param profile profile that governs its tasks
 * @param tasks number of tasks
 * @param command what each task runs
 * @param resources declared size of each task
 * @param idempotencyKey key under which a repetition is the same job
 */
public record Submission(
        TeamName team,
        ProfileName profile,
        int tasks,
        JsonNode command,
        Resources resources,
        Optional<String> idempotencyKey) {}
