package org.tamarackline.standin.worker;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.kohsuke.args4j.Option;
import org.tamarackline.core.model.Resources;
import org.tamarackline.standin.StandinCommand;

/** Command-line command that runs a worker stand-in. */
public final class StandinWorkerCommand extends StandinCommand {

    private static final int MILLIS_PER_PROCESSOR = 1000;

    @Option(name = "--platform", metaVar = "URL", usage = "base URL of the platform", required = true)
    private String platformUrl;

    @Option(name = "--processors", metaVar = "N", usage = "number of processors of the worker")
    private int processors = 16;

    @Option(name = "--memory-mb", metaVar = "MB", usage = "memory of the worker, in megabytes")
    private long memoryMb = 60_000;

    @Option(name = "--accelerators", metaVar = "N", usage = "number of accelerators of the worker")
    private int accelerators;

    @Option(
            name = "--usage-lag-ms",
            metaVar = "MS",
            usage = "minimum age of reported usage measurements, in milliseconds")
    private long usageLagMs = 2_000;

    @Override
    protected String start(InetSocketAddress listenAddress) throws Exception {
        Resources capacity = new Resources((long) processors * MILLIS_PER_PROCESSOR, memoryMb, accelerators);
        WorkerOptions options = new WorkerOptions(listenAddress, platformUrl, capacity, Duration.ofMillis(usageLagMs));
        return StandinWorker.start(options).address();
    }
}
