package org.tamarackline.load;

import java.nio.file.Path;
import java.util.Map;

/**
 * Which local processes to start.
 *
 * @param binary the binary to start them from
 * @param directory directory for settings and logs
 * @param service name of the service whose runners are started
 * @param workers number of workers, 8 to a rack
 * @param workerProcessors processors of each worker
 * @param runners number of runners
 * @param entryNodes number of entry nodes
 * @param settings sections of settings that each entry node gets beside its addresses
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
