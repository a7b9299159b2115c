package org.tamarackline.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/** Reports the resource usage of the processes of a local cluster since the previous report. */
final class ResourceMeter {

    /** Clock ticks per second in {@code /proc/PID/stat}, a fixed value of the Linux interface. */
    private static final double TICKS_PER_SECOND = 100;

    private static final int USER_TICKS_FIELD = 11;
    private static final double KB_PER_MB = 1024;
    private static final double BYTES_PER_KB = 1000;
    private static final double PERCENT = 100;

    private final LocalCluster cluster;
    private final Map<Integer, Long> lastTicks = new HashMap<>();
    private final Map<Integer, Double> lastControlBytes = new HashMap<>();
    private JsonNode lastCounters;
    private long lastNanos;

    ResourceMeter(LocalCluster cluster) throws IOException, InterruptedException {
        this.cluster = cluster;
        readUsage();
    }

    /** Returns one line for each entry node and one for the platform. */
    List<String> readUsage() throws IOException, InterruptedException {
        long nowNanos = System.nanoTime();
        double seconds = (nowNanos - lastNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        lastNanos = nowNanos;
        List<String> lines = new ArrayList<>();
        for (int node = 0; node < cluster.entryAddresses().size(); node++) {
            lines.add(entryLine(node, seconds));
        }
        lines.add(platformLine(seconds));
        return lines;
    }

    private String entryLine(int node, double seconds) throws IOException, InterruptedException {
        long pid = cluster.entryNode(node).pid();
        long cpuTicks = cpuTicks(pid);
        double controlBytes = controlBytes(node);
        double cpuPercent = PERCENT * (cpuTicks - lastTicks.getOrDefault(node, 0L)) / TICKS_PER_SECOND / seconds;
        double kbPerSecond = (controlBytes - lastControlBytes.getOrDefault(node, 0.0)) / BYTES_PER_KB / seconds;
        lastTicks.put(node, cpuTicks);
        lastControlBytes.put(node, controlBytes);
        return String.format(
                Locale.ROOT,
                "entry %d: resident %.0f MB, %.2f %% of a core, control %.2f KB/s",
                node,
                residentKb(pid) / KB_PER_MB,
                cpuPercent,
                kbPerSecond);
    }

    private String platformLine(double seconds) throws IOException, InterruptedException {
        JsonNode counters = cluster.http().getJson(cluster.platform().url() + "/standin/counters", JsonNode.class);
        JsonNode previousCounters = lastCounters == null ? counters : lastCounters;
        lastCounters = counters;
        StringBuilder line = new StringBuilder("platform:");
        counters.properties().forEach(counter -> {
            double rate = (counter.getValue().asLong()
                            - previousCounters.path(counter.getKey()).asLong())
                    / seconds;
            line.append(String.format(Locale.ROOT, " %s %.2f/s", counter.getKey(), rate));
        });
        return line.toString();
    }

    private static long cpuTicks(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        return Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1]);
    }

    private static double residentKb(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    private double controlBytes(int node) throws IOException, InterruptedException {
        String url = cluster.entryAddresses().get(node).operatorUrl() + "/metrics";
        String token = cluster.credentials().operatorToken();
        double sum = 0;
        for (String line : cluster.http().getText(url, Optional.of(token)).split("\n", -1)) {
            if (line.startsWith("control_bytes_total")) {
                sum += Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1));
            }
        }
        return sum;
    }
}
