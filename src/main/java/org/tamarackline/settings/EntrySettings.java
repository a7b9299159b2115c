package org.tamarackline.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;

/**
 * Settings of an entry node.
 *
 * @param node identity and peer address of the node
 * @param region region of the node
 * @param dataCentre data centre of the node
 * @param callerAddress IP number and port that callers connect to
 * @param operatorAddress IP number and port that operators connect to
 * @param platformUrl base URL of the platform's services
 * @param seedPeers peer addresses to ask when the platform is down at start
 * @param peerKey shared key of the nodes; never logged or dumped
 * @param operatorToken credential of operators; never logged or dumped
 * @param callerTokens credential by caller; never logged or dumped
 * @param cluster times of membership and ownership
 * @param requests limits for quick requests
 * @param jobs limits for jobs and workers
 */
public record EntrySettings(
        NodeId node,
        Region region,
        DataCentre dataCentre,
        String callerAddress,
        String operatorAddress,
        String platformUrl,
        List<NodeId> seedPeers,
        Secret peerKey,
        Secret operatorToken,
        Map<CallerName, Secret> callerTokens,
        ClusterTimes cluster,
        RequestLimits requests,
        JobLimits jobs) {

    /** Creates settings that later changes of the arguments do not affect. */
    public EntrySettings {
        seedPeers = List.copyOf(seedPeers);
        callerTokens = Map.copyOf(callerTokens);
    }

    /**
     * Times of membership and ownership.
     *
     * @param heartbeatInterval time between two heartbeats
     * @param pollInterval time between two polls of node rows and the configuration version
     * @param membershipLease time after the last confirmed heartbeat was sent during which a node may rely on its shards
     * @param takeoverTimeout time without a heartbeat after which another node may take the shards
     * @param outageGrace longest time without confirmation during which a node with peers goes on
     * @param driftMargin allowance for clocks that run at different rates
     * @param requestTimeout bound on each call to the platform or a peer
     * @param rebalanceInterval shortest time between two planned handovers of one node
     * @param drainDelay time between falling readiness and the start of the handover on shutdown
     * @param singleNode whether the installation has one node, which never takes over and needs no peer in an outage
     */
    public record ClusterTimes(
            Duration heartbeatInterval,
            Duration pollInterval,
            Duration membershipLease,
            Duration takeoverTimeout,
            Duration outageGrace,
            Duration driftMargin,
            Duration requestTimeout,
            Duration rebalanceInterval,
            Duration drainDelay,
            boolean singleNode) {

        /** Returns the defaults. */
        public static ClusterTimes defaults() {
            return new ClusterTimes(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(5),
                    Duration.ofHours(1),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(3),
                    false);
        }
    }

    /**
     * Limits for quick requests.
     *
     * @param requestLimit longest deadline, also the time for which slots of a dead node count as occupied
     * @param queueLength requests that may wait for a slot on one node
     * @param runnerGroups runner groups in each data centre and service
     * @param retryPercent retries allowed per hundred requests
     * @param connectTimeout bound on opening a connection to an upstream
     */
    public record RequestLimits(
            Duration requestLimit, int queueLength, int runnerGroups, int retryPercent, Duration connectTimeout) {

        /** Returns the defaults. */
        public static RequestLimits defaults() {
            return new RequestLimits(Duration.ofSeconds(10), 512, 3, 10, Duration.ofMillis(500));
        }
    }

    /**
     * Limits for jobs and workers.
     *
     * @param commitInterval time over which row changes are collected into one transaction
     * @param workerRenewalInterval time between two renewals of a worker
     * @param taskLease time after the last renewal at which a worker stops its tasks
     * @param poisonThreshold different workers on which a task may fail before it is given up
     * @param workerFailureThreshold consecutive failed starts of different jobs before a worker is quarantined
     * @param tasksPerJob largest number of tasks in a job
     */
    public record JobLimits(
            Duration commitInterval,
            Duration workerRenewalInterval,
            Duration taskLease,
            int poisonThreshold,
            int workerFailureThreshold,
            int tasksPerJob) {

        /** Returns the defaults. */
        public static JobLimits defaults() {
            return new JobLimits(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(20), 3, 5, 10_000);
        }
    }
}
