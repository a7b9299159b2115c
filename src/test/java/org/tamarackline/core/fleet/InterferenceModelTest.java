package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that {@link InterferenceModel} learns the headroom loss of each pair of images from measured latencies. */
class InterferenceModelTest {

    private static final double UNLOADED_HEADROOM = 6;
    private static final double HIGH_LOSS = 10;
    private static final double LOW_LOSS = 0.8;
    private static final long CAPACITY_MILLIS = 8_000;
    private static final long STATUS_INTERVAL_MS = 500;
    private static final int STATUSES = 60;

    private final FleetFixture fixture = new FleetFixture(1);
    private final Map<FleetRunner, List<PlacedTask>> tasksByRunner = new LinkedHashMap<>();

    private record PlacedTask(TaskKey task, StepDefinition step) {}

    /** Adds an inherited job of one step whose tasks run on the given runners. */
    private void addRunningTasks(String job, StepDefinition step, FleetRunner... runners) {
        fixture.fleet().jobs().add(FleetFixture.job(job, step), JobProgress.NONE, true, 0);
        for (int index = 0; index < runners.length; index++) {
            tasksByRunner
                    .computeIfAbsent(runners[index], key -> new ArrayList<>())
                    .add(new PlacedTask(new TaskKey(job, 0, 0, index), step));
        }
    }

    /**
     * Reports the status of the runners at intervals, with the latency that the load and the best-effort tasks cause.
     */
    private void reportStatuses(DoubleUnaryOperator loadAtS, Set<ImagePair> interfering) {
        for (int i = 0; i < STATUSES; i++) {
            fixture.advanceMs(STATUS_INTERVAL_MS);
            double load = loadAtS.applyAsDouble(fixture.nowNanos() / 1e9);
            tasksByRunner.forEach((runner, tasks) -> {
                List<RunnerStatus.ActiveRun> activeRuns = new ArrayList<>();
                for (PlacedTask task : tasks) {
                    activeRuns.add(new RunnerStatus.ActiveRun(
                            task.task(), 1, "", 50, measurement(task, tasks, load, interfering)));
                }
                fixture.reportStatus(runner, activeRuns, List.of());
            });
        }
    }

    private static double measurement(
            PlacedTask task, List<PlacedTask> colocated, double load, Set<ImagePair> interfering) {
        if (task.step().bestEffort()) {
            return task.step().demand().processorMillis();
        }
        double headroom = UNLOADED_HEADROOM * (1 - load);
        for (PlacedTask other : colocated) {
            if (other.step().bestEffort()) {
                double cpuShare = (double) other.step().demand().processorMillis() / CAPACITY_MILLIS;
                ImagePair pair = new ImagePair(task.step().image(), other.step().image());
                headroom -= (interfering.contains(pair) ? HIGH_LOSS : LOW_LOSS) * cpuShare;
            }
        }
        return Math.round(task.step().latencyTargetMs() / Math.max(0.1, headroom));
    }

    private double learnedLoss(String latencyCritical, String bestEffort) {
        return fixture.fleet()
                .interferenceEstimates()
                .get(new ImagePair(latencyCritical, bestEffort))
                .headroomLoss();
    }

    /**
     * Guards against one estimate per best-effort image, which applies the loss of one latency-critical image to all of
     * them.
     */
    @Test
    void learnsWhichImagePairsInterfere() {
        FleetRunner first = fixture.addRunner("a", CAPACITY_MILLIS);
        FleetRunner second = fixture.addRunner("b", CAPACITY_MILLIS);
        FleetRunner third = fixture.addRunner("c", CAPACITY_MILLIS);
        addRunningTasks("web", FleetFixture.latencyCritical("web", 3, 1_000), first, second, third);
        addRunningTasks("api", FleetFixture.latencyCritical("api", 3, 1_000), first, second, third);
        addRunningTasks("x", FleetFixture.bestEffort("x"), first);
        addRunningTasks("y", FleetFixture.bestEffort("y"), second);
        reportStatuses(time -> 0.4, Set.of(new ImagePair("web", "x"), new ImagePair("api", "y")));
        assertThat(learnedLoss("web", "x")).isBetween(0.7 * HIGH_LOSS, 1.3 * HIGH_LOSS);
        assertThat(learnedLoss("api", "y")).isBetween(0.7 * HIGH_LOSS, 1.3 * HIGH_LOSS);
        assertThat(learnedLoss("web", "y")).isLessThan(HIGH_LOSS / 4);
        assertThat(learnedLoss("api", "x")).isLessThan(HIGH_LOSS / 4);
    }

    /** Guards against attributing the load changes of latency-critical tasks to best-effort tasks. */
    @Test
    void doesNotAttributeLoadChangesToBestEffortTasks() {
        FleetRunner first = fixture.addRunner("a", CAPACITY_MILLIS);
        FleetRunner second = fixture.addRunner("b", CAPACITY_MILLIS);
        addRunningTasks("web", FleetFixture.latencyCritical("web", 2, 1_000), first, second);
        addRunningTasks("x", FleetFixture.bestEffort("x"), first);
        reportStatuses(time -> 0.48 + 0.24 * Math.sin(2 * Math.PI * time / 10), Set.of());
        assertThat(learnedLoss("web", "x")).isLessThan(HIGH_LOSS / 4);
    }
}
