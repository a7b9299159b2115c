package org.tamarackline.core.placement;

import org.tamarackline.core.model.Resources;

/** Static helpers for shares of resources. */
public final class ResourceShares {

    /** Percentage of a worker's processors and memory that is reserved for latency-critical tasks. */
    static final int LATENCY_CRITICAL_RESERVE_PERCENT = 10;

    private ResourceShares() {}

    /** Returns the part of a worker's capacity that tasks may occupy that are not latency-critical. */
    public static Resources withoutReserve(Resources capacity) {
        int usablePercent = 100 - LATENCY_CRITICAL_RESERVE_PERCENT;
        return new Resources(
                capacity.processorMillis() * usablePercent / 100,
                capacity.memoryMb() * usablePercent / 100,
                capacity.accelerators());
    }

    /** Returns the largest share that {@code used} has of any resource in {@code total}; 1 means all of it. */
    public static double dominantShare(Resources used, Resources total) {
        double processors = share(used.processorMillis(), total.processorMillis());
        double memory = share(used.memoryMb(), total.memoryMb());
        double accelerators = share(used.accelerators(), total.accelerators());
        return Math.max(processors, Math.max(memory, accelerators));
    }

    /** Returns {@code amount} multiplied by {@code portion / whole}, for each resource. */
    public static Resources scale(Resources amount, Resources portion, Resources whole) {
        return new Resources(
                scale(amount.processorMillis(), portion.processorMillis(), whole.processorMillis()),
                scale(amount.memoryMb(), portion.memoryMb(), whole.memoryMb()),
                (int) scale(amount.accelerators(), portion.accelerators(), whole.accelerators()));
    }

    private static long scale(long amount, long portion, long whole) {
        return whole <= 0 ? amount : amount * portion / whole;
    }

    private static double share(long used, long total) {
        if (used <= 0) {
            return 0;
        }
        return total <= 0 ? Double.POSITIVE_INFINITY : (double) used / total;
    }
}
