package org.tamarackline.fleet;

import java.time.Duration;

/** Durations and sizes of a node that are not configurable. */
final class FleetConstants {

    /**
     * Time after the store's last confirmation for which a leader may send commands. A successor that knows no lease limit
     * waits for this lease and the runner lease before it assumes that a silent runner runs nothing.
     */
    static final Duration LEADERSHIP_LEASE = Duration.ofSeconds(8);

    /**
     * Time after a takeover at which the leadership leases of all earlier leaders have expired, even if this node's
     * clock is faster than theirs.
     */
    static final Duration EARLIER_LEADERSHIP_EXPIRY = Duration.ofMillis(8_200);

    /** Duration of the lease that a runner gets with a start or a poll. It must outlast a change of leader. */
    static final Duration RUNNER_LEASE = Duration.ofSeconds(5);

    /**
     * Longest lease that a runner grants, from the arrival of a command. A process that has restarted unnoticed grants
     * it, because its clock starts anew and the end of the lease was computed from the earlier clock.
     */
    static final Duration MAX_RUNNER_LEASE = Duration.ofSeconds(6);

    /**
     * Time from the moment at which a lease limit is sent to the store until it. A long-running task must run again within
     * 9 s of the end of its runner, so a successor must not wait much longer than this; leases must outlast a store outage
     * of 6 s.
     */
    static final Duration LEASE_LIMIT = Duration.ofMillis(7_200);

    /** Age of the lease limit after which a leader stores a later one. */
    static final Duration LEASE_LIMIT_INTERVAL = Duration.ofMillis(200);

    /** Time before the lease limit at which a leader raises it for the sake of the runners that have reported. */
    static final Duration MIN_REMAINING_LEASE_LIMIT = Duration.ofSeconds(2);

    /** Interval at which a leader checks whether a later lease limit is due. */
    static final Duration LEASE_LIMIT_CHECK_INTERVAL = Duration.ofMillis(50);

    /** Shortest lease that is worth granting. */
    static final Duration MIN_RUNNER_LEASE = Duration.ofSeconds(1);

    /** Shortest time from the end of a runner's process until a new one accepts commands. */
    static final Duration MIN_RESTART_TIME = Duration.ofMillis(500);

    /**
     * Time for which a runner's process is known after it is known to have been alive. The rest of {@link
     * #MIN_RESTART_TIME} is left for a start to reach the runner.
     */
    static final Duration PROCESS_KNOWN_TIME = MIN_RESTART_TIME.dividedBy(2);

    /** Fraction by which the clocks of a runner or of the store may be slower or faster than this node's clock. */
    static final double MAX_CLOCK_DRIFT = 0.02;

    /** Margin added to the computed end of a runner lease, for the time that a runner takes to end its runs. */
    static final Duration LEASE_MARGIN = Duration.ofMillis(250);

    /**
     * Jump of the time of day against the steady clock above which the process is considered to have been suspended.
     */
    static final Duration SUSPENSION_THRESHOLD = Duration.ofMillis(400);

    /** Time in milliseconds for which a runner may delay its response to a poll to wait for a run to end. */
    static final int POLL_WAIT_MS = 1_000;

    /**
     * Same for a runner with latency-critical tasks beside best-effort ones; its measurements cover the last half
     * second.
     */
    static final int SHARED_POLL_WAIT_MS = 500;

    /** Longest interval between polls of a runner without runs. */
    static final Duration IDLE_POLL_INTERVAL = Duration.ofSeconds(4);

    /** Delay before a failed poll is retried. */
    static final Duration POLL_RETRY_DELAY = Duration.ofMillis(300);

    /** Longest delay of a poll, so that it can acknowledge the ended runs that the previous one returned. */
    static final Duration ACKNOWLEDGE_DELAY = Duration.ofMillis(300);

    /**
     * Time after which a runner gets no further starts until its ended runs are acknowledged. A runner that gets starts
     * more often than they are answered would otherwise never be acknowledged, and a status lists at most 500 ends.
     */
    static final Duration ACKNOWLEDGEMENT_OVERDUE = Duration.ofSeconds(4);

    /** Time for which changes are collected into one transaction, unless a job has ended. */
    static final Duration COMMIT_LINGER = Duration.ofMillis(60);

    /** Delay before a failed transaction or read is retried. */
    static final Duration STORE_RETRY_DELAY = Duration.ofMillis(250);

    /**
     * Maximum number of start requests without a response. A node that is short of CPU time thereby sends fewer starts,
     * the most urgent first, instead of running into their timeouts.
     */
    static final int MAX_UNANSWERED_STARTS = 24;

    /** Minimum time between two scheduling rounds, so that one round handles several changes. */
    static final Duration MIN_SCHEDULING_INTERVAL = Duration.ofMillis(25);

    /** Interval at which the leader reads the directory of runners. */
    static final Duration DIRECTORY_READ_INTERVAL = Duration.ofMillis(900);

    /**
     * Time from the moment at which the answer to a poll is due until its runner is cordoned, so that successors need not
     * wait for it longer than this leader does. It leaves time for one more poll after a connection was reset.
     */
    static final Duration CORDON_AFTER_OVERDUE = Duration.ofMillis(400);

    /** Delay of a leader's event loop above which it cordons no runner, since answers may wait to be processed. */
    static final Duration MAX_LOOP_DELAY_FOR_CORDONS = Duration.ofMillis(100);

    /**
     * Time from the first poll of a new leader after which a runner that has not answered it is cordoned. The lease limit
     * cannot be raised before.
     */
    static final Duration CORDON_AFTER_FIRST_POLL = Duration.ofMillis(600);

    /** Interval of the scheduling rounds that send commands which become due with time. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(150);

    /**
     * Interval at which a leader measures its state for the metrics. A measurement scans all ready tasks and runs, so it
     * must not be much shorter.
     */
    static final Duration STATE_SAMPLE_INTERVAL = Duration.ofSeconds(1);

    /**
     * Number of measurements for each of which one is logged, so that the cause of held tasks is known even if other log
     * lines are lost.
     */
    static final int STATE_SAMPLES_PER_LOG = 2;

    /**
     * Wait of a long-running task from which its cause is logged. The next run is due 9 s after the death of a runner, of
     * which the lease of the runner takes more than half.
     */
    static final Duration LONG_RUNNING_WAIT_TO_LOG = Duration.ofSeconds(4);

    /** Maximum number of waiting long-running tasks that are logged at a time. */
    static final int MAX_LOGGED_LONG_RUNNING_WAITS = 5;

    /** Interval at which the records of held jobs are read again. */
    static final Duration HELD_JOBS_READ_INTERVAL = Duration.ofSeconds(5);

    /** Longest time that one read waits for a change of the jobs. */
    static final Duration JOBS_FOLLOW_WAIT = Duration.ofSeconds(1);

    /** Delay between reads of changes, so that one read returns several. */
    static final Duration FOLLOW_INTERVAL = Duration.ofMillis(15);

    /** Longest time that one read waits for a change of the configuration. */
    static final Duration CONFIGURATION_FOLLOW_WAIT = Duration.ofSeconds(1);

    /** Time for which the state of a finished job can still be requested. */
    static final Duration FINISHED_JOB_RETENTION = Duration.ofMinutes(3);

    /**
     * Age of the record of a withdrawn job from which a further cancellation renews it, so that it outlasts a submission
     * that was sent just before.
     */
    static final Duration WITHDRAWAL_RENEWAL_AGE = FINISHED_JOB_RETENTION.dividedBy(2);

    /** Age from which it is no longer renewed, because the leader may be removing it. */
    static final Duration WITHDRAWAL_MAX_RENEWAL_AGE = FINISHED_JOB_RETENTION.minusSeconds(30);

    /** Maximum number of records that one transaction writes; it leaves space for the conditions. */
    static final int MAX_COMMIT_WRITES = 95;

    private FleetConstants() {}
}
