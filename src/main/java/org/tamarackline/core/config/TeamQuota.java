package org.tamarackline.core.config;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * The resources that a team is guaranteed under contention.
 *
 * @param team name of the team
 * @param guaranteed resources that the team gets before other teams may use them
 */
public record TeamQuota(TeamName team, Resources guaranteed) {}
