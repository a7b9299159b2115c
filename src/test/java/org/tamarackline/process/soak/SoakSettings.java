package org.tamarackline.process.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Settings of one soak.
 *
 * @param seed seed of all random choices; the times at which processes act are not repeated by it
 * @param duration length of the soak; no burst of faults begins that would not end, with its pause, before that
 * @param nodes number of nodes, at least 4
 * @param runners number of runners, at least 4
 * @param busyProcesses number of processes that use a processor each
 * @param directory directory of all logs
 */
public record SoakSettings(long seed, Duration duration, int nodes, int runners, int busyProcesses, Path directory) {}
