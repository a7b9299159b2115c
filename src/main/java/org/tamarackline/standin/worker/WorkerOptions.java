package org.tamarackline.standin.worker;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.tamarackline.core.model.Resources;

/**
 * How a worker stand-in is set up.
 *
 * @param address where to listen; port 0 lets the kernel choose
 * @param platformUrl base URL of the platform, whose object store takes checkpoints and results
 * @param capacity processors, memory and accelerators
 * @param usageLag age of the usage measurements that are reported
 */
public record WorkerOptions(InetSocketAddress address, String platformUrl, Resources capacity, Duration usageLag) {}
