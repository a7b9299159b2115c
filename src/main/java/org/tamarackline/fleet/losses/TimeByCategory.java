package org.tamarackline.fleet.losses;

import java.util.EnumMap;
import java.util.Map;

/** Sums of time by category. */
public final class TimeByCategory {

    private final Map<TimeCategory, Long> timesMs = new EnumMap<>(TimeCategory.class);

    void add(TimeCategory category, long timeMs) {
        if (timeMs > 0) {
            timesMs.merge(category, timeMs, Long::sum);
        }
    }

    void addAll(TimeByCategory others) {
        others.timesMs.forEach(this::add);
    }

    /** Returns the time of a category, in milliseconds. */
    public long ms(TimeCategory category) {
        return timesMs.getOrDefault(category, 0L);
    }

    /** Returns the time of all categories, in milliseconds. */
    public long totalMs() {
        return timesMs.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the time of all categories except work at full speed, in milliseconds. */
    public long lostMs() {
        return totalMs() - ms(TimeCategory.WORK);
    }
}
