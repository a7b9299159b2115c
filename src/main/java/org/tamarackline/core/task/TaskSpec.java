package org.tamarackline.core.task;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * What a caller asked to run.
 *
 * @param caller caller that submitted the job
 * @param team team whose quota and usage the task counts against
 * @param profile profile that governs the task
 * @param resources declared size
 * @param command what the worker runs
 */
public record TaskSpec(CallerName caller, TeamName team, ProfileName profile, Resources resources, JsonNode command) {}
