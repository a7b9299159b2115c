package org.tamarackline.fleet;

import java.time.Duration;

/** Times and sizes of a node that no setting changes. */
final class FleetConstants {

    /**
     * How long a leader goes on giving orders after the store last confirmed it. It bridges outages of the store; a
     * successor waits for it and the lease before it regards a silent runner as empty.
     */
    static final Duration LEADERSHIP_LEASE = Duration.ofSeconds(8);

    /** Time after its takeover at which no earlier leader has authority, on a clock that may be faster than theirs. */
    static final Duration EARLIER_LEADERSHIP_EXPIRY = Duration.ofMillis(8_200);

    /** Lease that runners get with each order. It must outlast the change to a new leader. */
    static final Duration RUNNER_LEASE = Duration.ofSeconds(5);

    /** A runner's clock may be slower than ours by this part. */
    static final double MAX_CLOCK_DRIFT = 0.02;

    /** Added to the computed end of a lease, for the time that a runner takes to end what runs. */
    static final Duration LEASE_MARGIN = Duration.ofMillis(250);

    /** Time of day and steady clock may part by this much before the process is taken to have been suspended. */
    static final Duration SUSPENSION_THRESHOLD = Duration.ofMillis(400);

    /** How long a runner may wait for an end before it answers a hold. */
    static final int POLL_WAIT_MS = 1_000;

    /** The same for a runner whose serving tasks are watched; its figures cover the last half second. */
    static final int SHARED_POLL_WAIT_MS = 500;

    /** Longest pause between holds of a runner without runs. */
    static final Duration IDLE_POLL_INTERVAL = Duration.ofSeconds(4);

    /** Pause before a hold that did not succeed is repeated. */
    static final Duration POLL_RETRY_DELAY = Duration.ofMillis(300);

    /** Longest time that a hold is put off so that it confirms the ends of the one before. */
    static final Duration ACKNOWLEDGE_DELAY = Duration.ofMillis(300);

    /** How long changes are collected for one transaction, unless a job has ended. */
    static final Duration COMMIT_LINGER = Duration.ofMillis(60);

    /** Pause after a transaction or a read that the store refused. */
    static final Duration STORE_RETRY_DELAY = Duration.ofMillis(250);

    /**
     * Starts that may be without an answer at a time. A node that is short of processor time thereby sends fewer starts
     * instead of running into their timeouts, and the most urgent ones first.
     */
    static final int MAX_UNANSWERED_STARTS = 24;

    /** Least time between two rounds of decisions, so that one round serves several changes. */
    static final Duration MIN_SCHEDULING_INTERVAL = Duration.ofMillis(25);

    /** How often the leader reads the directory of runners. */
    static final Duration DIRECTORY_READ_INTERVAL = Duration.ofMillis(900);

    /** Silence after which a runner is closed, so that successors need not wait for it longer than this leader. */
    static final Duration CORDON_AFTER_SILENCE = Duration.ofMillis(1_200);

    /** How often the leader looks for orders that time makes due. */
    static final Duration TICK_INTERVAL = Duration.ofMillis(150);

    /** How often a leader logs its state, so that what holds tasks back is known even if other lines are lost. */
    static final Duration STATE_LOG_INTERVAL = Duration.ofSeconds(2);

    /** How long one read waits for a change of the jobs. */
    static final Duration JOBS_FOLLOW_WAIT = Duration.ofSeconds(1);

    /** Pause between reads of changes, so that one read returns several. */
    static final Duration FOLLOW_INTERVAL = Duration.ofMillis(15);

    /** How long one read waits for a change of the configuration. */
    static final Duration CONFIGURATION_FOLLOW_WAIT = Duration.ofSeconds(1);

    /** How long a job that has ended can be asked for. */
    static final Duration FINISHED_JOB_RETENTION = Duration.ofMinutes(3);

    /** Records that one transaction writes at most, which leaves room for the conditions. */
    static final int MAX_COMMIT_WRITES = 95;

    private FleetConstants() {}
}
