package org.tamarackline.standin.worker;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.tamarackline.core.model.Resources;

/**
 * Options of a worker stand-in.
 *
 * @param address address to listen on; port 0 selects a free port
 * @param platformUrl base URL of the platform, whose object store holds checkpoints and results
 * @param capacity processors, memory and accelerators of the worker
 * @param usageLag minimum age of the usage measurements that are reported
 */
public record WorkerOptions(InetSocketAddress address, String platformUrl, Resources capacity, Duration usageLag) {}
