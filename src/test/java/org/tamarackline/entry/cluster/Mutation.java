package org.tamarackline.entry.cluster;

import java.time.Duration;

import org.tamarackline.settings.EntrySettings;

/** A defect built into the simulated cluster to show that a property of {@link ClusterSafetyTest} detects it. */
enum Mutation {
    NONE,
    TAKEOVER_TIMEOUT_BELOW_MEMBERSHIP_LEASE,
    CHECKS_IGNORED,
    ANY_VERSION_INSTALLED,
    NO_POLLS_AND_PUSHES;

    EntrySettings.ClusterTimes clusterTimes() {
        return new EntrySettings.ClusterTimes(
                Duration.ofSeconds(1),
                Duration.ofMillis(500),
                Duration.ofSeconds(3),
                this == TAKEOVER_TIMEOUT_BELOW_MEMBERSHIP_LEASE ? Duration.ofMillis(1500) : Duration.ofSeconds(5),
                Duration.ofSeconds(40),
                Duration.ofMillis(500),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                false);
    }

    boolean ignoresChecks() {
        return this == CHECKS_IGNORED;
    }

    boolean installsAnyVersion() {
        return this == ANY_VERSION_INSTALLED;
    }

    boolean losesPushes() {
        return this == NO_POLLS_AND_PUSHES;
    }

    long pollIntervalMs() {
        return this == NO_POLLS_AND_PUSHES ? 20_000 : 500;
    }
}
