package org.tamarackline.standin.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.kohsuke.args4j.Option;
import org.tamarackline.standin.StandinCommand;

/** Runs an upstream stand-in. */
public final class StandinUpstreamCommand extends StandinCommand {

    @Option(name = "--slots", metaVar = "N", usage = "requests that may be in service at once")
    private int slots = UpstreamOptions.DEFAULT_SLOTS;

    @Option(
            name = "--service-ms",
            metaVar = "MS",
            usage = "service time of requests without the header X-Work-Ms, in milliseconds")
    private long serviceMs;

    @Override
    protected String start(InetSocketAddress listenAddress) throws Exception {
        UpstreamOptions options = new UpstreamOptions(listenAddress, slots, Duration.ofMillis(serviceMs));
        return StandinUpstream.start(options).address();
    }
}
