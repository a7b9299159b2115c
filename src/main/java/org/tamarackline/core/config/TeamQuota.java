package org.tamarackline.core.config;

import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * The resources that a team may count on under contention.
 *
 * @param team name of the team
 * @param guaranteed resources that the team gets before others borrow them
 */
public record TeamQuota(TeamName team, Resources guaranteed) {}
