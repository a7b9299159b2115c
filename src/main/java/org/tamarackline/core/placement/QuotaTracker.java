package org.tamarackline.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/**
 * Tracks the resources that each team occupies, by which placement chooses the team to serve next.
 *
 * <p>A team below its guarantee is served before the others. Among the others, the one with the smallest dominant share is
 * served first, so that unused guarantees are shared evenly.
 */
public final class QuotaTracker {

    private final Resources total;
    private final Map<TeamName, Resources> guarantees = new HashMap<>();
    private final Map<TeamName, Resources> used = new HashMap<>();

    /** Creates a tracker for a total capacity of which the quotas guarantee a part to each team. */
    public QuotaTracker(Resources total, List<TeamQuota> quotas) {
        this.total = total;
        quotas.forEach(quota -> guarantees.put(quota.team(), quota.guaranteed()));
    }

    /** Adds a task of the team. */
    public void add(TeamName team, Resources size) {
        used.merge(team, size, Resources::plus);
    }

    /** Returns whether the team stays within its guarantee with one more task of this size. */
    public boolean isWithinGuarantee(TeamName team, Resources size) {
        Resources guarantee = guarantees.getOrDefault(team, Resources.NONE);
        return usageOf(team).plus(size).fitsIn(guarantee);
    }

    /** Returns the largest share that the team occupies of any resource. */
    public double dominantShare(TeamName team) {
        return ResourceShares.dominantShare(usageOf(team), total);
    }

    private Resources usageOf(TeamName team) {
        return used.getOrDefault(team, Resources.NONE);
    }
}
