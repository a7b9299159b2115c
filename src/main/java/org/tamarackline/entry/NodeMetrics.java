package org.tamarackline.entry;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import com.sun.management.OperatingSystemMXBean;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.entry.cluster.Cluster;

/** Registers the metrics of the node as a whole: its memory, processor time, readiness, shards and membership status. */
@Singleton
final class NodeMetrics {

    private static final Path STATM = Path.of("/proc/self/statm");
    private static final int RESIDENT_PAGES_COLUMN = 1;
    private static final long PAGE_BYTES = 4_096;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Optional<Cluster> cluster;

    @Inject
    NodeMetrics(MeterRegistry meters, Optional<Cluster> cluster, Readiness readiness) {
        this.cluster = cluster;
        Gauge.builder("process_resident_bytes", NodeMetrics::residentBytes)
                .description("Resident memory of the process")
                .register(meters);
        FunctionCounter.builder("control_cpu_seconds_total", this, unused -> cpuSeconds())
                .description("Processor time of the process, an upper bound of what control uses")
                .register(meters);
        Gauge.builder("node_ready", readiness, state -> state.reasons().isEmpty() ? 1 : 0)
                .description("1 if the node is ready")
                .register(meters);
        Gauge.builder("shards_owned", this, NodeMetrics::shardsOwned)
                .description("Shards that the node owns")
                .register(meters);
        Gauge.builder("configuration_version", this, NodeMetrics::configurationVersion)
                .description("Version of the configuration in force, -1 before the first")
                .register(meters);
        for (MembershipStatus status : MembershipStatus.values()) {
            Gauge.builder("node_standing", this, metrics -> metrics.hasMembershipStatus(status) ? 1 : 0)
                    .tag("standing", status.name())
                    .description("1 for the standing that the node has")
                    .register(meters);
        }
    }

    private int shardsOwned() {
        return cluster.map(Cluster::ownedShards).map(List::size).orElse(0);
    }

    private long configurationVersion() {
        return cluster.flatMap(Cluster::configuration)
                .map(Configuration::version)
                .orElse(-1L);
    }

    private boolean hasMembershipStatus(MembershipStatus status) {
        return cluster.map(Cluster::membershipStatus).equals(Optional.of(status));
    }

    /** Returns the resident memory, or NaN on systems without {@code /proc/self/statm}. */
    private static double residentBytes() {
        try {
            String[] columns = Files.readString(STATM).strip().split(" ", -1);
            return Long.parseLong(columns[RESIDENT_PAGES_COLUMN]) * PAGE_BYTES;
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    private static double cpuSeconds() {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system) {
            return system.getProcessCpuTime() / NANOS_PER_SECOND;
        }
        return Double.NaN;
    }
}
