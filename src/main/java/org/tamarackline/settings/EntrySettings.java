package org.tamarackline.settings;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;

/**
 * Settings of an entry node, as {@link EntrySettingsParser} reads them from the settings file.
 *
 * @param node identity and peer address of the node
 * @param region region of the node
 * @param dataCentre data centre of the node
 * @param callerAddress IPv4 address and port that callers connect to
 * @param operatorAddress IPv4 address and port that operators connect to
 * @param platformUrl base URL of the platform's services
 * @param seedPeers addresses of peers to contact if the platform is down at start
 * @param peerKey shared key of the nodes; must not be logged or dumped
 * @param operatorToken credential of operators; must not be logged or dumped
 * @param callerTokens credential by caller; must not be logged or dumped
 * @param cluster times of membership and ownership
 * @param requests limits for latency-critical requests
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

    /** Copies the collections, so that later changes to them have no effect. */
    public EntrySettings {
        seedPeers = List.copyOf(seedPeers);
        callerTokens = Map.copyOf(callerTokens);
    }

    /**
     * Times of membership and ownership.
     *
     * @param heartbeatInterval time between two heartbeats
     * @param pollInterval time between two polls of node rows and the configuration version
     * @param membershipLease time after sending the last confirmed heartbeat during which a node may rely on its
     *     shards
     * @param takeoverTimeout time without a heartbeat after which another node may take over the shards
     * @param outageGrace maximum time without confirmation for which a node with peers keeps operating
     * @param driftMargin margin for clocks that run at different rates
     * @param requestTimeout timeout of each call to the platform or a peer
     * @param rebalanceInterval minimum time between two planned handovers of one node
     * @param drainDelay time on shutdown between reporting not ready and starting the handover
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

        /** Returns the default values. */
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
     * Limits for latency-critical requests.
     *
     * @param requestLimit maximum deadline of a request; also the time for which slots used by a failed node count
     *     as occupied
     * @param queueLength maximum number of requests that wait for a slot on one node
     * @param runnerGroups number of runner groups for each data centre and service
     * @param retryPercent maximum number of retries per 100 requests
     * @param connectTimeout timeout for opening a connection to an upstream
     */
    public record RequestLimits(
            Duration requestLimit, int queueLength, int runnerGroups, int retryPercent, Duration connectTimeout) {

        /** Returns the default values. */
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
     * @param poisonThreshold number of different workers on which a task may fail before it is parked
     * @param workerFailureThreshold consecutive failed starts of different jobs after which a worker is quarantined
     * @param tasksPerJob maximum number of tasks in a job
     */
    public record JobLimits(
            Duration commitInterval,
            Duration workerRenewalInterval,
            Duration taskLease,
            int poisonThreshold,
            int workerFailureThreshold,
            int tasksPerJob) {

        /** Returns the default values. */
        public static JobLimits defaults() {
            return new JobLimits(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(20), 3, 5, 10_000);
        }
    }
}
