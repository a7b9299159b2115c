package org.tamarackline.fleet.losses;

import java.util.EnumMap;
import java.util.Map;

/** Time by cause. */
public final class LossSums {

    private final Map<LossCause, Long> sumsMs = new EnumMap<>(LossCause.class);

    void add(LossCause cause, long timeMs) {
        if (timeMs > 0) {
            sumsMs.merge(cause, timeMs, Long::sum);
        }
    }

    void addAll(LossSums others) {
        others.sumsMs.forEach(this::add);
    }

    /** Returns the time that a cause took, in milliseconds. */
    public long ms(LossCause cause) {
        return sumsMs.getOrDefault(cause, 0L);
    }

    /** Returns the time of all causes, in milliseconds. */
    public long totalMs() {
        return sumsMs.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the time of all causes but work at full speed, in milliseconds. */
    public long lostMs() {
        return totalMs() - ms(LossCause.WORK);
    }
}
