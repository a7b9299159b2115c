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
 * Takes part in the cluster for this node: runs the heartbeat, poll, ping and ownership loops, and is the
 * {@link Cluster} that other packages see.
 *
 * <p>Each loop has a tick method, which the timers of {@link #start} call at a fixed rate. There are as many threads as
 * loops, so that a slow call of one loop does not delay another.
 */
public final class ClusterNode implements Cluster {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration OWNERSHIP_INTERVAL = Duration.ofMillis(250);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
    private static final int LOOP_COUNT = 5;

    /** Checks per heartbeat interval whether outage evidence is needed. */
    private static final int EVIDENCE_CHECKS = 10;

    private final EntrySettings settings;
    private final ClusterContext context;
    private final HeartbeatLoop heartbeatLoop;
    private final PollLoop pollLoop;
    private final PingLoop pingLoop;
    private final OwnershipLoop ownershipLoop;
    private final ReentrantLock ownershipLock = new ReentrantLock();
    private final List<ScheduledFuture<?>> scheduledLoops = new ArrayList<>();
    private volatile ScheduledExecutorService timers;

    ClusterNode(ClusterContext context, VmDirectory vms, Supplier<Set<OwnershipListener>> ownershipListeners) {
        this.context = context;
        settings = context.settings();
        OwnershipNotifier notifier = new OwnershipNotifier(ownershipListeners);
        context.membership().setLossListener(notifier::queueLost);
        heartbeatLoop = new HeartbeatLoop(context.table(), context.membership(), context.clock(), context.self());
        pollLoop = new PollLoop(context.table(), context.membership(), context.configurationReplica(), context.clock());
        pingLoop = new PingLoop(context);
        ownershipLoop = new OwnershipLoop(context, vms, notifier);
    }

    OwnershipLoop ownershipLoop() {
        return ownershipLoop;
    }

    /**
     * Starts the loops. The peer server must be listening by then: having bound the node's address shows that no other
     * process runs as this node.
     */
    public void start() {
        EntrySettings.ClusterTimes times = settings.cluster();
        timers = Executors.newScheduledThreadPool(
                LOOP_COUNT, Thread.ofPlatform().daemon().name("cluster-", 0).factory());
        schedule(this::heartbeatTick, times.heartbeatInterval());
        schedule(this::pollTick, times.pollInterval());
        schedule(this::pingTick, times.heartbeatInterval());
        schedule(this::evidenceTick, times.heartbeatInterval().dividedBy(EVIDENCE_CHECKS));
        schedule(this::ownershipTick, OWNERSHIP_INTERVAL);
    }

    private void schedule(Runnable tick, Duration interval) {
        scheduledLoops.add(timers.scheduleAtFixedRate(
                () -> runAndLogFailure(tick), 0, interval.toMillis(), TimeUnit.MILLISECONDS));
    }

    private static void runAndLogFailure(Runnable tick) {
        try {
            tick.run();
        } catch (RuntimeException e) {
            LOG.atSevere().withCause(e).log("cluster loop failed; it runs again at its next interval");
        }
    }

    /** Writes one heartbeat. */
    void heartbeatTick() {
        heartbeatLoop.tick();
    }

    /** Polls the node rows and the configuration version. */
    void pollTick() {
        pollLoop.tick();
    }

    /** Pings the peers. */
    void pingTick() {
        pingLoop.tick();
    }

    /** Asks the peers for outage evidence if it is needed. */
    void evidenceTick() {
        pingLoop.evidenceTick();
    }

    /** Scans, claims, takes over or hands over shards, whichever is due. */
    void ownershipTick() {
        ownershipLock.lock();
        try {
            ownershipLoop.tick();
        } finally {
            ownershipLock.unlock();
        }
    }

    /** Announces that this node is leaving; it acquires no further shards from then on. */
    public void leave() {
        context.membership().leave();
        heartbeatTick();
        pingTick();
    }

    /** Hands all shards over after {@link #leave}; returns those that could not be handed over. */
    public List<ShardId> handOverAll() {
        ownershipLock.lock();
        try {
            return ownershipLoop.handOverAll();
        } finally {
            ownershipLock.unlock();
        }
    }

    /**
     * Stops the loops. Marks the row of this node as gone if it is a member, owns no shards and no peer can still rely
     * on outage evidence from it.
     */
    public void stop() {
        boolean markGone = context.membership().stop();
        scheduledLoops.forEach(loop -> loop.cancel(false));
        ScheduledExecutorService executor = timers;
        if (executor != null) {
            executor.shutdown();
            awaitTermination(executor);
        }
        if (markGone) {
            heartbeatLoop.markGone();
        }
    }

    private static void awaitTermination(ScheduledExecutorService executor) {
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
     * Marks a node as gone after an operator has confirmed that its process has stopped.
     *
     * @return false if there is no such node
     */
    public boolean confirmStopped(NodeId node)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        Optional<VersionedNodeRow> stored = context.table().readNode(node);
        if (stored.isEmpty()) {
            return false;
        }
        NodeRow row = stored.get().row();
        if (row.state() != NodeState.GONE) {
            context.table()
                    .writeNode(
                            row.withState(NodeState.GONE), stored.get().version(), ClusterTable.newTransactionToken());
            LOG.atWarning().log("an operator confirmed that node %s has stopped", node);
        }
        ownershipLoop.requestScan();
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
        return context.configurationReplica().inForce();
    }

    @Override
    public List<Member> peers() {
        return context.membership().peerRows().stream().map(this::member).toList();
    }

    private Member member(NodeRow row) {
        boolean leaving =
                row.state() == NodeState.LEAVING || context.peerDirectory().isLeaving(row.node());
        return new Member(row.node(), settings.region(), row.dataCentre(), leaving);
    }

    @Override
    public Optional<NodeId> ownerOf(ShardId shard) {
        return context.peerDirectory().ownerOf(shard);
    }

    @Override
    public Optional<Epoch> ownedEpoch(ShardId shard) {
        return context.membership().ownedShards().epochOf(shard);
    }

    @Override
    public List<ShardId> ownedShards() {
        return context.membership().ownedShards().list();
    }
}
