package org.tamarackline.load;

import java.nio.file.Path;
import java.util.Map;

/**
 * Parameters of a {@link LocalCluster}.
 *
 * @param binary binary from which the processes are started
 * @param directory directory for settings and logs
 * @param service name of the service for which runners are started
 * @param workers number of workers, 8 to a rack
 * @param workerProcessors processors of each worker
 * @param runners number of runners
 * @param entryNodes number of entry nodes
 * @param settings additional settings of each entry node by TOML table
 */
public record LocalClusterPlan(
        Path binary,
        Path directory,
        String service,
        int workers,
        int workerProcessors,
        int runners,
        int entryNodes,
        Map<String, Map<String, Object>> settings) {}
