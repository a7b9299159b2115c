package org.tamarackline.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import com.google.common.flogger.FluentLogger;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.dropwizard.lifecycle.Managed;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.entry.cluster.ClusterService;

/** Joins the cluster when the node starts, hands the shards over when it drains and leaves when it stops. */
@Singleton
final class ClusterLifecycle implements Managed, DrainStep {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ClusterService clusterService;

    @Inject
    ClusterLifecycle(ClusterService clusterService) {
        this.clusterService = clusterService;
    }

    @Override
    public void start() throws IOException {
        clusterService.start();
    }

    @Override
    public void stop() {
        clusterService.stop();
    }

    @Override
    public String name() {
        return "handover of the shards";
    }

    /** Without the platform no handover is possible; the shards then wait until it is back and another node takes over. */
    @Override
    public boolean drain(Duration timeout) {
        clusterService.leave();
        List<ShardId> remainingShards = clusterService.handOverAll();
        if (!remainingShards.isEmpty()) {
            LOGGER.atWarning().log("shards not handed over: %d; other nodes take them over", remainingShards.size());
        }
        return true;
    }
}
