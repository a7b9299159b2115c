package org.tamarackline.core.model;

/**
 * An amount of processors, memory and accelerators: the size of a task or the capacity of a worker.
 *
 * @param processorMillis thousandths of a processor
 * @param memoryMb megabytes of memory
 * @param accelerators whole accelerators
 */
public record Resources(long processorMillis, long memoryMb, int accelerators) {

    /** The amount 0 of each resource. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum of both amounts. */
    public Resources plus(Resources other) {
        return new Resources(
                processorMillis + other.processorMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /** Returns this amount minus {@code other}; the amount of a resource may become negative. */
    public Resources minus(Resources other) {
        return new Resources(
                processorMillis - other.processorMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /** Returns the larger of both amounts, for each resource. */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(processorMillis, other.processorMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns whether this amount is at most {@code capacity}, for each resource. */
    public boolean fitsIn(Resources capacity) {
        return processorMillis <= capacity.processorMillis
                && memoryMb <= capacity.memoryMb
                && accelerators <= capacity.accelerators;
    }
}
