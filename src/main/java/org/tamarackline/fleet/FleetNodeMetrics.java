package org.tamarackline.fleet;

import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.QueueDefinition;
import org.tamarackline.core.fleet.StartBlock;
import org.tamarackline.core.fleet.StartResult;
import org.tamarackline.core.time.MonotonicClock;

/**
 * Prometheus metrics of a fleet node.
 *
 * <p>All meters are registered at construction, with every value of their labels, so that recording an event looks up an
 * enum constant and a series exists before its first event. Gauges read one {@link LeaderSample} for a whole scrape, so
 * that a scrape never mixes two leaders or touches the state of the event loop.
 */
public final class FleetNodeMetrics implements FleetMetrics {

    private static final String PREFIX = "tamarackline.";
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MS = 1e6;

    /** Label value of a run whose end no runner reported; the others are the names of {@link EndReason}. */
    private static final String LOST = "lost";

    /** The store is stated to take 8 ms for a transaction, at times 60 times as long (480 ms). */
    private static final Duration[] TRANSACTION_BUCKETS = {
        Duration.ofMillis(8),
        Duration.ofMillis(20),
        Duration.ofMillis(60),
        Duration.ofMillis(120),
        Duration.ofMillis(240),
        Duration.ofMillis(480),
        Duration.ofMillis(1_200)
    };

    /** Includes the target for urgent work (8.5 s) and the longest standstill of a long-running task (3 s). */
    private static final Duration[] START_DELAY_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(250),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3),
        Duration.ofMillis(8_500),
        Duration.ofSeconds(30),
        Duration.ofSeconds(120)
    };

    /** Includes the bounds for the end of a cancelled job's task, from its cancellation on (3 s, 4 s and 5 s). */
    private static final Duration[] CANCELLED_RUN_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(250),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(3),
        Duration.ofSeconds(4),
        Duration.ofSeconds(5)
    };

    private static final Duration[] LOOP_DELAY_BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(25),
        Duration.ofMillis(100),
        Duration.ofMillis(400),
        Duration.ofSeconds(1),
        Duration.ofSeconds(3)
    };

    private static final Duration[] REQUEST_BUCKETS = {
        Duration.ofMillis(10), Duration.ofMillis(60), Duration.ofMillis(250), Duration.ofSeconds(1)
    };

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final MonotonicClock clock;
    private final Map<FleetNode.SubmitResult, Counter> submissions = new EnumMap<>(FleetNode.SubmitResult.class);
    private final Map<RefusalReason, Counter> refusals;
    private final Map<LeadershipEvent, Counter> leadershipEvents;
    private final Map<StartResult, Counter> starts;
    private final Map<EndReason, Counter> runEnds;
    private final Counter lostRuns;
    private final Map<RunnerEvent, Counter> runnerEvents;
    private final Map<RunnerCallKind, Map<RunnerCalls.RunnerCommandOutcome, Counter>> runnerCalls =
            new EnumMap<>(RunnerCallKind.class);
    private final Map<TransactionPurpose, Map<TransactionOutcome, Counter>> transactions =
            new EnumMap<>(TransactionPurpose.class);
    private final Map<ReadPurpose, Map<ReadOutcome, Counter>> reads = new EnumMap<>(ReadPurpose.class);
    private final Counter isolatedChanges;
    private final Timer requests;
    private final Timer startDelays;
    private final Timer cancelledRuns;
    private final Timer transactionDurations;
    private final Timer loopDelays;

    private volatile LeaderSample sample = LeaderSample.NOT_LEADING;
    /** Sample and time that the gauges of the current scrape read; accessed only by the thread that scrapes. */
    private LeaderSample scraped = LeaderSample.NOT_LEADING;

    private long scrapedNanos;

    /**
     * Registers all metrics; the counts are zero and the node does not lead.
     *
     * @param clock clock of the samples; callable from any thread
     */
    public FleetNodeMetrics(MonotonicClock clock) {
        this.clock = clock;
        for (FleetNode.SubmitResult result : FleetNode.SubmitResult.values()) {
            // In capitals, unlike the other labels, because dashboards may use them.
            Tags tags = Tags.of("answer", result.name());
            submissions.put(result, counter("submissions", "submissions by their answer", tags));
        }
        refusals = counters(
                RefusalReason.class, "submissions.refused", "submissions that were not stored", "reason", Tags.empty());
        leadershipEvents = counters(
                LeadershipEvent.class,
                "leadership.events",
                "changes of the leadership as this node sees them",
                "event",
                Tags.empty());
        starts = counters(StartResult.class, "starts", "start commands by their result", "result", Tags.empty());
        String runsEnded = "runs.ended";
        String runsEndedDescription = "ends of runs by how they ended";
        runEnds = counters(EndReason.class, runsEnded, runsEndedDescription, "reason", Tags.empty());
        lostRuns = counter(runsEnded, runsEndedDescription, Tags.of("reason", LOST));
        runnerEvents = counters(
                RunnerEvent.class, "runner.events", "what the leader noticed about runners", "event", Tags.empty());
        for (RunnerCallKind kind : RunnerCallKind.values()) {
            runnerCalls.put(
                    kind,
                    counters(
                            RunnerCalls.RunnerCommandOutcome.class,
                            "runner.calls",
                            "calls to runners by their outcome",
                            "outcome",
                            Tags.of("kind", labelOf(kind))));
        }
        for (TransactionPurpose purpose : TransactionPurpose.values()) {
            transactions.put(
                    purpose,
                    counters(
                            TransactionOutcome.class,
                            "store.transactions",
                            "transactions of the store by their outcome",
                            "outcome",
                            Tags.of("purpose", labelOf(purpose))));
        }
        for (ReadPurpose purpose : ReadPurpose.values()) {
            reads.put(
                    purpose,
                    counters(
                            ReadOutcome.class,
                            "store.reads",
                            "reads of the store by their outcome",
                            "outcome",
                            Tags.of("purpose", labelOf(purpose))));
        }
        isolatedChanges = counter(
                "store.changes.isolated",
                "changes that the store rejected and that are kept out for a time",
                Tags.empty());
        requests = timer("request.duration", "time from a whole request to its answer", REQUEST_BUCKETS);
        startDelays = timer("task.start.delay", "time from ready to started of a task", START_DELAY_BUCKETS);
        cancelledRuns = timer(
                "cancelled.run.duration",
                "time from the leader's learning of a cancellation to the end of a run of the job",
                CANCELLED_RUN_BUCKETS);
        transactionDurations = timer(
                "store.transaction.duration", "time from a transaction to its answer or timeout", TRANSACTION_BUCKETS);
        loopDelays = timer("event.loop.delay", "by how much a step of the event loop was late", LOOP_DELAY_BUCKETS);
        registerLeaderGauges();
        registerLoadGauges();
    }

    private void registerLeaderGauges() {
        gauge("leader", "1 if this node leads", state -> state.leading() ? 1 : 0);
        gauge("leader.ready", "1 if this node leads and starts tasks", state -> state.ready() ? 1 : 0);
        gauge("leader.epoch", "epoch since which this node leads, 0 if it does not", LeaderSample::epoch);
        secondsGauge(
                "leader.confirmation.age",
                "time since the store last confirmed this leader, 0 if the node does not lead",
                Tags.empty(),
                state -> state.leading() ? state.confirmationAgeNanos() + sampleAgeNanos(state) : 0);
        secondsGauge(
                "leader.lease.limit.remaining",
                "time until the leases of all runners end unless the store raises their limit, 0 if it is unknown or the node does not lead",
                Tags.empty(),
                state -> state.leading() ? state.leaseLimitMs() * NANOS_PER_MS : 0);
        secondsGauge(
                "leader.writes.unanswered",
                "time for which the store has answered no transaction of this leader, 0 if the node does not lead",
                Tags.empty(),
                state -> state.leading() ? state.unansweredWritesMs() * NANOS_PER_MS : 0);
        secondsGauge(
                "leader.sample.age",
                "age of the leader's state in this scrape, 0 if the node does not lead",
                Tags.empty(),
                state -> state.leading() ? sampleAgeNanos(state) : 0);
    }

    private double sampleAgeNanos(LeaderSample state) {
        return Math.max(0, scrapedNanos - state.sampledNanos());
    }

    private void registerLoadGauges() {
        gauge("jobs.open", "jobs without a stored end", state -> state.load().openJobs());
        gauge(
                "tasks.ready",
                "tasks that wait for a start",
                state -> state.load().readyTasks());
        gauge(
                "tasks.held",
                "ready tasks that wait for an unreported runner",
                state -> state.load().heldTasks());
        for (int priority = 0; priority <= QueueDefinition.LOWEST_PRIORITY; priority++) {
            int labelled = priority;
            secondsGauge(
                    "task.ready.age.max",
                    "how long the oldest ready task has waited",
                    Tags.of("priority", Integer.toString(priority)),
                    state -> state.load().longestWaitNanos().get(labelled));
        }
        runsGauge("starting", state -> state.load().startingRuns());
        runsGauge("running", state -> state.load().runningRuns());
        runsGauge("stopping", state -> state.load().stoppingRuns());
        gauge("starts.unanswered", "start commands without a response", LeaderSample::unansweredStarts);
        gauge(
                "runners.known",
                "runners of the directory and the roster",
                state -> state.load().runners());
        gauge("runners.silent", "runners that did not answer the last poll", LeaderSample::silentRunners);
        gauge(
                "runners.unreported",
                "runners of earlier leaders that have not reported",
                state -> state.load().unreportedRunners());
        EnumSet<StartBlock> blocks = EnumSet.complementOf(EnumSet.of(StartBlock.NONE));
        blocks.forEach(this::blockedRunnersGauge);
    }

    private void blockedRunnersGauge(StartBlock block) {
        register(Gauge.builder(
                        PREFIX + "runners.blocked",
                        this,
                        metrics -> metrics.scraped.load().blockedRunners().getOrDefault(block, 0))
                .description("runners that get no new tasks, by the reason")
                .tag("reason", labelOf(block)));
    }

    private void runsGauge(String phase, ToDoubleFunction<LeaderSample> value) {
        register(Gauge.builder(PREFIX + "runs", this, metrics -> value.applyAsDouble(metrics.scraped))
                .description("runs by phase")
                .tag("phase", phase));
    }

    private void gauge(String name, String description, ToDoubleFunction<LeaderSample> value) {
        register(Gauge.builder(PREFIX + name, this, metrics -> value.applyAsDouble(metrics.scraped))
                .description(description));
    }

    private void secondsGauge(String name, String description, Tags tags, ToDoubleFunction<LeaderSample> nanos) {
        register(Gauge.builder(PREFIX + name, this, metrics -> nanos.applyAsDouble(metrics.scraped) / NANOS_PER_SECOND)
                .description(description)
                .baseUnit("seconds")
                .tags(tags));
    }

    private void register(Gauge.Builder<FleetNodeMetrics> gauge) {
        gauge.register(registry);
    }

    private Timer timer(String name, String description, Duration... buckets) {
        return Timer.builder(PREFIX + name)
                .description(description)
                .serviceLevelObjectives(buckets)
                .register(registry);
    }

    private Counter counter(String name, String description, Tags tags) {
        return Counter.builder(PREFIX + name)
                .description(description)
                .tags(tags)
                .register(registry);
    }

    private <E extends Enum<E>> Map<E, Counter> counters(
            Class<E> type, String name, String description, String label, Tags tags) {
        Map<E, Counter> counters = new EnumMap<>(type);
        for (E value : type.getEnumConstants()) {
            counters.put(value, counter(name, description, tags.and(label, labelOf(value))));
        }
        return counters;
    }

    private static String labelOf(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public void submitted(FleetNode.SubmitResult result) {
        submissions.get(result).increment();
    }

    @Override
    public void submissionRefused(RefusalReason reason) {
        refusals.get(reason).increment();
    }

    @Override
    public void requestCompleted(Duration duration) {
        requests.record(duration);
    }

    @Override
    public void leadershipChanged(LeadershipEvent event) {
        leadershipEvents.get(event).increment();
    }

    @Override
    public void leaderSampled(LeaderSample next) {
        sample = next;
    }

    @Override
    public void startCompleted(StartResult result) {
        starts.get(result).increment();
    }

    @Override
    public void taskStarted(long waitedNanos) {
        startDelays.record(waitedNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void runEnded(EndReason reason) {
        runEnds.get(reason).increment();
    }

    @Override
    public void cancelledRunEnded(long sinceCancelledNanos) {
        cancelledRuns.record(sinceCancelledNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void runLost() {
        lostRuns.increment();
    }

    @Override
    public void runnerChanged(RunnerEvent event) {
        runnerEvents.get(event).increment();
    }

    @Override
    public void runnerCallCompleted(RunnerCallKind kind, RunnerCalls.RunnerCommandOutcome outcome) {
        runnerCalls.get(kind).get(outcome).increment();
    }

    @Override
    public void transactionCompleted(TransactionPurpose purpose, TransactionOutcome outcome, long tookNanos) {
        transactions.get(purpose).get(outcome).increment();
        transactionDurations.record(tookNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void changeIsolated() {
        isolatedChanges.increment();
    }

    @Override
    public void readCompleted(ReadPurpose purpose, ReadOutcome outcome) {
        reads.get(purpose).get(outcome).increment();
    }

    @Override
    public void loopDelayed(long delayNanos) {
        loopDelays.record(delayNanos, TimeUnit.NANOSECONDS);
    }

    /** Returns all metrics in the Prometheus text format. Callable from any thread. */
    public synchronized String text() {
        scraped = sample;
        scrapedNanos = clock.nowNanos();
        return registry.scrape();
    }
}
