package org.tamarackline.core.usage;

import java.util.Comparator;

import org.tamarackline.core.model.TeamName;

/**
 * The key by which usage is summed up.
 *
 * @param team team that used the resources
 * @param kind kind of work
 * @param name name of the service for requests, of the profile for tasks
 */
public record UsageKey(TeamName team, Kind kind, String name) implements Comparable<UsageKey> {

    private static final Comparator<UsageKey> ORDER =
            Comparator.comparing(UsageKey::team).thenComparing(UsageKey::kind).thenComparing(UsageKey::name);

    /** Kinds of work. */
    public enum Kind {
        /** Latency-critical requests. */
        REQUESTS,
        /** Tasks of jobs. */
        TASKS
    }

    @Override
    public int compareTo(UsageKey other) {
        return ORDER.compare(this, other);
    }
}
