package org.tamarackline.process.soak;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.tamarackline.standin.fleet.StandinCaller;
import org.tamarackline.standin.fleet.StandinFleet;

/**
 * Callers that submit jobs through all nodes, over connections that stay open as long as the node's process. Without an
 * answer, they repeat a submission at any node; after a refusal, they submit another job. They cancel some jobs soon after
 * the acceptance, and repeat a cancellation at any node until one succeeds or the job does not exist.
 */
final class SoakCallers {

    private static final int TASKS_PER_JOB = 3;
    private static final int FIRST_LONG_RUNNING_JOBS = 6;
    private static final int MAX_LONG_RUNNING_JOBS = 12;
    private static final int ORDINARY_CALLERS = 2;
    private static final Duration LONG_RUNNING_JOB_INTERVAL = Duration.ofSeconds(6);
    private static final Duration ORDINARY_JOB_INTERVAL = Duration.ofMillis(600);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Age up to which an ended job is looked for; nodes know it for three minutes. */
    private static final Duration KNOWN_TIME = Duration.ofSeconds(100);

    private static final int MAX_STATE_REQUESTS = 40;

    /** Status of a job that no longer exists, also because of an earlier attempt to cancel it. */
    private static final int NO_SUCH_JOB = 410;

    /** Of so many jobs of the ordinary callers one is cancelled, and every other one of these has long-running tasks. */
    private static final int CANCELLATION_STEP = 3;

    private static final Duration MIN_CANCELLATION_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_CANCELLATION_DELAY = Duration.ofSeconds(5);

    private final StandinCaller caller;
    private final List<InetSocketAddress> nodes;
    private final Random random;

    /** Makes the choices of cancellations, apart from those of identifiers and nodes. */
    private final Random cancellationRandom;

    /** Identifiers of the jobs that will be cancelled soon after their acceptance. */
    private final Set<String> shortLivedJobs = new HashSet<>();

    private final List<SoakJob> jobs = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    SoakCallers(StandinCaller caller, List<InetSocketAddress> nodes, long seed) {
        this.caller = caller;
        this.nodes = nodes;
        this.random = new Random(seed);
        this.cancellationRandom = new Random(~seed);
    }

    void start() {
        threads.add(Thread.ofVirtual().start(this::submitLongRunningJobs));
        for (int i = 0; i < ORDINARY_CALLERS; i++) {
            threads.add(Thread.ofVirtual().start(this::submitOrdinaryJobs));
        }
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.interrupt();
            thread.join();
        }
    }

    synchronized List<SoakJob> acceptedJobs() {
        return List.copyOf(jobs);
    }

    private void submitLongRunningJobs() {
        try {
            for (int count = 1; !stopped; count++) {
                submit(true, Optional.empty());
                if (count >= FIRST_LONG_RUNNING_JOBS) {
                    Thread.sleep(LONG_RUNNING_JOB_INTERVAL);
                    cancelSurplus();
                }
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void submitOrdinaryJobs() {
        try {
            while (!stopped) {
                submitOrdinaryJob();
                Thread.sleep(ORDINARY_JOB_INTERVAL);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void submitOrdinaryJob() throws InterruptedException {
        boolean longRunning;
        Optional<Duration> cancellationDelay;
        synchronized (this) {
            boolean cancelled = cancellationRandom.nextInt(CANCELLATION_STEP) == 0;
            longRunning = cancelled && cancellationRandom.nextBoolean();
            cancellationDelay = cancelled ? Optional.of(nextCancellationDelay()) : Optional.empty();
        }
        submit(longRunning, cancellationDelay);
    }

    private Duration nextCancellationDelay() {
        long rangeNanos = MAX_CANCELLATION_DELAY.minus(MIN_CANCELLATION_DELAY).toNanos();
        return MIN_CANCELLATION_DELAY.plusNanos((long) (cancellationRandom.nextDouble() * rangeNanos));
    }

    private void submit(boolean longRunning, Optional<Duration> cancellationDelay) throws InterruptedException {
        String id = newId();
        while (!stopped) {
            int status = caller.send(randomNode(), "POST", id, body(longRunning));
            if (status / 100 == 2) {
                SoakJob job = SoakJob.accepted(id, TASKS_PER_JOB, longRunning, System.nanoTime());
                add(job, cancellationDelay.isPresent());
                cancellationDelay.ifPresent(delay -> Thread.ofVirtual().start(() -> cancelAfter(job, delay)));
                return;
            }
            boolean refused = status != 0 && status != 502 && status != 504;
            id = refused ? newId() : id;
            Thread.sleep(RETRY_DELAY);
        }
    }

    private synchronized void add(SoakJob job, boolean shortLived) {
        jobs.add(job);
        if (shortLived) {
            shortLivedJobs.add(job.id());
        }
    }

    private synchronized boolean shortLived(SoakJob job) {
        return shortLivedJobs.contains(job.id());
    }

    private synchronized boolean cancelled(SoakJob job) {
        return jobs.stream().anyMatch(other -> other.id().equals(job.id()) && other.cancelled());
    }

    private synchronized String newId() {
        return String.format(Locale.ROOT, "%016x", random.nextLong());
    }

    private synchronized InetSocketAddress randomNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private static String body(boolean longRunning) {
        String spec = longRunning ? StandinFleet.LONG_RUNNING_SPEC : StandinFleet.TIMED_SPEC_PREFIX + 400;
        String kind = longRunning ? "\"longRunning\":true,\"antiAffinity\":1" : "\"estMs\":400";
        return "{\"spec\":\"%s\",\"steps\":[{\"count\":%d,\"cpu\":500,\"memMb\":64,%s}]}"
                .formatted(spec, TASKS_PER_JOB, kind);
    }

    private void cancelAfter(SoakJob job, Duration delay) {
        try {
            Thread.sleep(delay);
            cancel(job);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Cancels the oldest long-running job if there are more than the runners should have. */
    private void cancelSurplus() throws InterruptedException {
        List<SoakJob> active = acceptedJobs().stream()
                .filter(job -> job.longRunning() && !job.cancelled() && !shortLived(job))
                .toList();
        if (active.size() > MAX_LONG_RUNNING_JOBS) {
            cancel(active.getFirst());
        }
    }

    private void cancel(SoakJob job) throws InterruptedException {
        SoakJob cancelled = job.cancelledAt(System.nanoTime());
        replace(job, cancelled);
        while (!stopped) {
            int status = caller.send(randomNode(), "DELETE", job.id(), null);
            if (status / 100 == 2 || status == NO_SUCH_JOB) {
                replace(cancelled, cancelled.cancelAnsweredAt(System.nanoTime()));
                return;
            }
            Thread.sleep(RETRY_DELAY);
        }
    }

    private synchronized void replace(SoakJob job, SoakJob replacement) {
        jobs.set(jobs.indexOf(job), replacement);
    }

    /** Returns the accepted jobs that the nodes say they do not know, or whose state no node tells. */
    List<String> unknownJobs() throws InterruptedException {
        List<String> unknown = new ArrayList<>();
        long oldestNanos = System.nanoTime() - KNOWN_TIME.toNanos();
        for (SoakJob job : acceptedJobs()) {
            if (!job.cancelled() && !shortLived(job) && (job.longRunning() || job.acceptedNanos() - oldestNanos > 0)) {
                whyUnknown(job)
                        .filter(reason -> !cancelled(job))
                        .ifPresent(reason -> unknown.add("job %s: %s".formatted(job.id(), reason)));
            }
        }
        return unknown;
    }

    private Optional<String> whyUnknown(SoakJob job) throws InterruptedException {
        for (int i = 0; i < MAX_STATE_REQUESTS; i++) {
            for (InetSocketAddress node : nodes) {
                int status = caller.send(node, "GET", job.id(), null);
                if (status == 200) {
                    return Optional.empty();
                }
                if (status == NO_SUCH_JOB || status == 404) {
                    return Optional.of("status " + status);
                }
            }
            Thread.sleep(RETRY_DELAY);
        }
        return Optional.of("no state after %d requests to each node".formatted(MAX_STATE_REQUESTS));
    }
}
