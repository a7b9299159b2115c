package org.tamarackline.core.task;

import com.fasterxml.jackson.databind.JsonNode;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * A task as submitted by a caller.
 *
 * @param caller caller that submitted the job
 * @param team team whose quota and usage the task counts against
 * @param profile profile by which the task is scheduled
 * @param resources declared resources
 * @param command what the worker runs
 */
public record TaskSpec(CallerName caller, TeamName team, ProfileName profile, Resources resources, JsonNode command) {}
