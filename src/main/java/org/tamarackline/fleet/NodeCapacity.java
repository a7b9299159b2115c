package org.tamarackline.fleet;

import java.util.Comparator;

/**
 * Resources that the platform grants a node.
 *
 * @param cpuMillis processor time per second, in thousandths of a processor
 * @param memoryMb memory in megabytes
 * @param maxOpenFiles maximum number of open files, sockets included
 */
public record NodeCapacity(int cpuMillis, int memoryMb, int maxOpenFiles) implements Comparable<NodeCapacity> {

    private static final int LEADER_CPU_MILLIS = 100;
    private static final int LEADER_CPU_MILLIS_PER_RUNNER = 2;
    private static final int LEADER_MEMORY_MB = 128;
    private static final int RUNNERS_PER_LEADER_MEMORY_MB = 8;
    private static final int LEADER_OPEN_FILES = 500;
    /** A runner takes connections for its poll and for commands that are sent meanwhile. */
    private static final int LEADER_OPEN_FILES_PER_RUNNER = 6;

    /** Capacity of a node that does not tell it. */
    public static final NodeCapacity UNKNOWN = new NodeCapacity(0, 0, 0);

    private static final Comparator<NodeCapacity> ORDER = Comparator.comparingInt(NodeCapacity::cpuMillis)
            .thenComparingInt(NodeCapacity::memoryMb)
            .thenComparingInt(NodeCapacity::maxOpenFiles);

    /**
     * Returns what a node needs to lead a fleet.
     *
     * @param runners number of runners of the fleet
     */
    static NodeCapacity requiredToLead(int runners) {
        return new NodeCapacity(
                LEADER_CPU_MILLIS + LEADER_CPU_MILLIS_PER_RUNNER * runners,
                LEADER_MEMORY_MB + runners / RUNNERS_PER_LEADER_MEMORY_MB,
                LEADER_OPEN_FILES + LEADER_OPEN_FILES_PER_RUNNER * runners);
    }

    /** Returns whether this capacity is at least the other one in every respect. */
    boolean covers(NodeCapacity required) {
        return cpuMillis >= required.cpuMillis
                && memoryMb >= required.memoryMb
                && maxOpenFiles >= required.maxOpenFiles;
    }

    /** Compares by processor time first, which binds a leader before memory and files do. */
    @Override
    public int compareTo(NodeCapacity other) {
        return ORDER.compare(this, other);
    }
}
