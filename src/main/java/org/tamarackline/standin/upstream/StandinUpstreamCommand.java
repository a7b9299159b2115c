package org.tamarackline.standin.upstream;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.kohsuke.args4j.Option;
import org.tamarackline.standin.StandinCommand;

/** Command-line command that runs an upstream stand-in. */
public final class StandinUpstreamCommand extends StandinCommand {

    @Option(name = "--slots", metaVar = "N", usage = "maximum number of concurrent requests")
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
