package org.tamarackline.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * What each team takes up, and which team is served next.
 *
 * <p>A team below its guarantee is served before the others. Among the others the one with the smallest dominant share is
 * served first, so that idle guarantees are lent out evenly.
 */
public final class QuotaTracker {

    private final Resources total;
    private final Map<TeamName, Resources> guarantees = new HashMap<>();
    private final Map<TeamName, Resources> used = new HashMap<>();

    /** Creates a ledger over the capacity that the guarantees are a part of. */
    public QuotaTracker(Resources total, List<TeamQuota> quotas) {
        this.total = total;
        quotas.forEach(quota -> guarantees.put(quota.team(), quota.guaranteed()));
    }

    /** Counts a task of the team. */
    public void add(TeamName team, Resources size) {
        used.merge(team, size, Resources::plus);
    }

    /** Returns whether one more task of this size stays within what the team is guaranteed. */
    public boolean isWithinGuarantee(TeamName team, Resources size) {
        Resources guarantee = guarantees.getOrDefault(team, Resources.NONE);
        return usageOf(team).plus(size).fitsIn(guarantee);
    }

    /** Returns the dominant share of the team. */
    public double dominantShare(TeamName team) {
        return ResourceShares.dominantShare(usageOf(team), total);
    }

    private Resources usageOf(TeamName team) {
        return used.getOrDefault(team, Resources.NONE);
    }
}
