package org.tamarackline.core.usage;

import java.util.Comparator;

import org.tamarackline.core.model.TeamName;

/**
 * What usage is counted by.
 *
 * @param team team
 * @param kind kind of work
 * @param name service of requests, or profile of tasks
 */
public record UsageKey(TeamName team, Kind kind, String name) implements Comparable<UsageKey> {

    private static final Comparator<UsageKey> ORDER =
            Comparator.comparing(UsageKey::team).thenComparing(UsageKey::kind).thenComparing(UsageKey::name);

    /** Kinds of work. */
    public enum Kind {
        /** Quick requests. */
        REQUESTS,
        /** Tasks of jobs. */
        TASKS
    }

    @Override
    public int compareTo(UsageKey other) {
        return ORDER.compare(this, other);
    }
}
