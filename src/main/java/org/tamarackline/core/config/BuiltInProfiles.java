package org.tamarackline.core.config;

import java.util.List;

import org.tamarackline.core.model.ProfileName;

/** Static helpers for profiles. */
public final class BuiltInProfiles {

    /** For requests and urgent tasks; a late answer is worthless. */
    public static final Profile QUICK_ANSWER = new Profile(
            new ProfileName("quick answer"),
            ServiceClass.LATENCY_CRITICAL,
            1_000,
            800,
            100,
            false,
            false,
            0,
            0,
            80,
            10,
            10);

    /** For nightly and weekly plans, which may be checkpointed and have to finish within 10 hours. */
    public static final Profile OVERNIGHT_PLAN = new Profile(
            new ProfileName("overnight plan"), ServiceClass.BATCH, 0, 300, 100, true, true, 0, 36_000_000, 10, 50, 40);

    /** For tasks that never stop. */
    public static final Profile STANDING_WATCHER = new Profile(
            new ProfileName("standing watcher"), ServiceClass.CONTINUOUS, 0, 500, 100, true, true, 0, 0, 30, 30, 40);

    /** The profiles of a new installation. */
    public static final List<Profile> ALL = List.of(QUICK_ANSWER, OVERNIGHT_PLAN, STANDING_WATCHER);

    private BuiltInProfiles() {}
}
