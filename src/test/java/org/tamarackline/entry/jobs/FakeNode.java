package org.tamarackline.entry.jobs;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.time.MonotonicClock;
import org.tamarackline.entry.FakeCluster;
import org.tamarackline.entry.cluster.OwnershipListener.Origin;
import org.tamarackline.peer.PeerException;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.settings.EntrySettings.ClusterTimes;
import org.tamarackline.settings.EntrySettings.JobLimits;
import org.tamarackline.settings.EntrySettings.RequestLimits;
import org.tamarackline.settings.Secret;
import org.tamarackline.store.FakePlatform;
import org.tamarackline.worker.WorkerGateway;

/** The job classes of one entry node. Its loop and its blocking calls are queues that run only when the test says so. */
final class FakeNode {

    final FakeCluster cluster;
    final JobsContext context;
    final RackManager racks;
    final JobService service;
    final Queue<Runnable> loop = new ArrayDeque<>();
    final Queue<Runnable> blockingCalls = new ArrayDeque<>();
    Epoch epoch = new Epoch(0);
    private boolean loopRunsImmediately;

    FakeNode(String id, FakePlatform platform, WorkerGateway workers, MonotonicClock clock) {
        this(id, platform, workers, clock, ClusterTimes.defaults().driftMargin());
    }

    FakeNode(String id, FakePlatform platform, WorkerGateway workers, MonotonicClock clock, Duration driftMargin) {
        cluster = new FakeCluster(new NodeId(id));
        JobExecutors executors = new JobExecutors(this::onLoop, blockingCalls::add);
        context = new JobsContext(
                cluster,
                new JobStores(platform, platform.objects()),
                workers,
                (node, request, timeout) -> {
                    throw new PeerException(PeerException.Reason.UNREACHABLE, "no peers in this test", null);
                },
                settings(id, driftMargin),
                clock,
                executors);
        RackLoadCache loads = new RackLoadCache(context);
        racks = new RackManager(context, loads);
        RackOwnerClient owners = new RackOwnerClient(context, new JobMessageHandler(racks, loads));
        service = new JobService(context, loads, owners);
    }

    static EntrySettings settings(String id) {
        return settings(id, ClusterTimes.defaults().driftMargin());
    }

    private static ClusterTimes times(Duration driftMargin) {
        ClusterTimes defaults = ClusterTimes.defaults();
        return new ClusterTimes(
                defaults.heartbeatInterval(),
                defaults.pollInterval(),
                defaults.membershipLease(),
                defaults.takeoverTimeout(),
                defaults.outageGrace(),
                driftMargin,
                defaults.requestTimeout(),
                defaults.rebalanceInterval(),
                defaults.drainDelay(),
                defaults.singleNode());
    }

    private static EntrySettings settings(String id, Duration driftMargin) {
        return new EntrySettings(
                new NodeId(id),
                new Region("r1"),
                new DataCentre("a"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "http://127.0.0.1:0",
                List.of(),
                new Secret("peer"),
                new Secret("operator"),
                Map.of(new CallerName("lianhua"), new Secret("token")),
                times(driftMargin),
                RequestLimits.defaults(),
                new JobLimits(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(20), 3, 5, 10_000));
    }

    private void onLoop(Runnable action) {
        if (loopRunsImmediately) {
            action.run();
        } else {
            loop.add(action);
        }
    }

    /** Empties the loop, then runs an action during which the loop executes whatever it is given immediately. */
    void runWithImmediateLoop(Runnable action) {
        drainLoop();
        loopRunsImmediately = true;
        try {
            action.run();
        } finally {
            loopRunsImmediately = false;
        }
    }

    void acquire(ShardId shard, long epochValue) {

        epoch = new Epoch(epochValue);
        cluster.acquire(shard, epoch);
        racks.acquired(shard, epoch, Origin.TAKEOVER, Optional.empty());
    }

    void tick() {
        loop.add(racks::tick);
        drainLoop();
    }

    void drainLoop() {
        while (!loop.isEmpty()) {
            loop.remove().run();
        }
    }

    /** Runs the loop and the blocking calls until both queues are empty. */
    void runUntilIdle() {
        while (!loop.isEmpty() || !blockingCalls.isEmpty()) {
            drainLoop();
            if (!blockingCalls.isEmpty()) {
                blockingCalls.remove().run();
            }
        }
    }
}
