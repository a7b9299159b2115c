package org.tamarackline.entry.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.membership.NodeState;
import org.tamarackline.core.model.Epoch;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.settings.EntrySettings;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TransactionConflictException;
import org.tamarackline.store.VmDirectory;

/**
 * Keeps this node a member and runs its share of the shards.
 *
 * <p>Each loop has a tick method, which the timers of {@link #start} call on a thread of its own, so that a slow call of
 * one loop does not delay another.
 */
public final class MembershipRunner implements Cluster {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration OWNERSHIP_INTERVAL = Duration.ofMillis(250);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final int LOOPS = 4;

    private final EntrySettings settings;
    private final ClusterContext context;
    private final HeartbeatLoop heartbeats;
    private final PollLoop polls;
    private final PingLoop pings;
    private final OwnershipLoop ownership;
    private final ReentrantLock ownershipLock = new ReentrantLock();
    private final List<ScheduledFuture<?>> running = new ArrayList<>();
    private volatile ScheduledExecutorService timers;

    MembershipRunner(ClusterContext context, VmDirectory vms, Supplier<Set<OwnershipListener>> ownershipListeners) {
        this.context = context;
        settings = context.settings();
        Listeners listeners = new Listeners(ownershipListeners);
        context.membership().onLoss(listeners::lost);
        heartbeats = new HeartbeatLoop(context.table(), context.membership(), context.clock(), context.self());
        polls = new PollLoop(context.table(), context.membership(), context.configuration(), context.clock());
        pings = new PingLoop(context);
        ownership = new OwnershipLoop(context, vms, listeners);
    }

    OwnershipLoop ownership() {
        return ownership;
    }

    /** Starts the loops. The peer server must be listening, because its address proves that this process is the node. */
    public void start() {
        EntrySettings.ClusterTimes times = settings.cluster();
        timers = Executors.newScheduledThreadPool(
                LOOPS, Thread.ofPlatform().daemon().name("cluster-", 0).factory());
        repeat(this::heartbeatTick, times.heartbeatInterval());
        repeat(this::pollTick, times.pollInterval());
        repeat(this::pingTick, times.heartbeatInterval());
        repeat(this::ownershipTick, OWNERSHIP_INTERVAL);
    }

    private void repeat(Runnable tick, Duration interval) {
        running.add(timers.scheduleAtFixedRate(() -> guarded(tick), 0, interval.toMillis(), TimeUnit.MILLISECONDS));
    }

    private static void guarded(Runnable tick) {
        try {
            tick.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("cluster loop failed; it goes on with its next turn");
        }
    }

    /** Writes one heartbeat. */
    void heartbeatTick() {
        heartbeats.tick();
    }

    /** Polls the node rows and the configuration version. */
    void pollTick() {
        polls.tick();
    }

    /** Pings the peers. */
    void pingTick() {
        pings.tick();
    }

    /** Takes the steps of ownership that are due. */
    void ownershipTick() {
        ownershipLock.lock();
        try {
            ownership.tick();
        } finally {
            ownershipLock.unlock();
        }
    }

    /** Makes this node leave: it takes no further shards, and the others are told. */
    public void leave() {
        context.membership().leave();
        heartbeatTick();
        pingTick();
    }

    /** Hands all shards over after {@link #leave}; returns those that could not be handed over. */
    public List<ShardId> handOverAll() {
        ownershipLock.lock();
        try {
            return ownership.handOverAll();
        } finally {
            ownershipLock.unlock();
        }
    }

    /** Stops the loops, and marks the own row as gone if no shard is left. */
    public void stop() {
        boolean markGone = context.membership().stop();
        running.forEach(loop -> loop.cancel(false));
        ScheduledExecutorService executor = timers;
        if (executor != null) {
            executor.shutdown();
            awaitEnd(executor);
        }
        if (markGone) {
            heartbeats.markGone();
        }
    }

    private static void awaitEnd(ScheduledExecutorService executor) {
        try {
            if (!executor.awaitTermination(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException e) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Marks a node as gone because an operator confirms that its process has stopped.
     *
     * @return false if there is no such node
     */
    public boolean confirmStopped(NodeId node)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        Optional<StoredNode> stored = context.table().node(node);
        if (stored.isEmpty()) {
            return false;
        }
        NodeRow row = stored.get().row();
        if (row.state() != NodeState.GONE) {
            context.table()
                    .writeNode(row.withState(NodeState.GONE), stored.get().version(), ClusterTable.newToken());
            LOG.atWarning().log("an operator confirmed that node %s has stopped", node);
        }
        ownership.requestScan();
        return true;
    }

    @Override
    public NodeId self() {
        return context.self().node();
    }

    @Override
    public MembershipStatus membershipStatus() {
        return context.membership().status();
    }

    @Override
    public Optional<Configuration> configuration() {
        return context.configuration().inForce();
    }

    @Override
    public List<Member> peers() {
        return context.membership().otherRows().stream().map(this::member).toList();
    }

    private Member member(NodeRow row) {
        boolean leaving =
                row.state() == NodeState.LEAVING || context.directory().isLeaving(row.node());
        return new Member(row.node(), settings.region(), row.dataCentre(), leaving);
    }

    @Override
    public Optional<NodeId> ownerOf(ShardId shard) {
        return context.directory().ownerOf(shard);
    }

    @Override
    public Optional<Epoch> ownedEpoch(ShardId shard) {
        return context.membership().owned().epochOf(shard);
    }

    @Override
    public List<ShardId> ownedShards() {
        return context.membership().owned().list();
    }
}
