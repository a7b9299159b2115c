package org.tamarackline.core.config;

import java.util.List;

import org.tamarackline.core.model.ProfileName;

/** The profiles that a new installation starts with. */
public final class BuiltInProfiles {

    /** For requests and latency-critical tasks, whose late response has no value. */
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

    /** For nightly and weekly batch tasks, which may be checkpointed and have to finish within 10 hours. */
    public static final Profile OVERNIGHT_PLAN = new Profile(
            new ProfileName("overnight plan"), ServiceClass.BATCH, 0, 300, 100, true, true, 0, 36_000_000, 10, 50, 40);

    /** For tasks that run until their job is cancelled. */
    public static final Profile STANDING_WATCHER = new Profile(
            new ProfileName("standing watcher"), ServiceClass.CONTINUOUS, 0, 500, 100, true, true, 0, 0, 30, 30, 40);

    /** All built-in profiles. */
    public static final List<Profile> ALL = List.of(QUICK_ANSWER, OVERNIGHT_PLAN, STANDING_WATCHER);

    private BuiltInProfiles() {}
}
