package org.tamarackline.core.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InterferenceModelTest {

    private static final double UNLOADED_HEADROOM = 6;
    private static final double HARMFUL = 10;
    private static final double HARMLESS = 0.8;
    private static final long CAPACITY_MILLIS = 8_000;
    private static final long LISTING_MS = 500;
    private static final int LISTINGS = 60;

    private final FleetFixture fixture = new FleetFixture(1);
    private final Map<FleetRunner, List<Placed>> placed = new LinkedHashMap<>();

    private record Placed(TaskKey task, StepDefinition step) {}

    /** Adds a job of one step whose tasks run on the given runners, as a successor finds them. */
    private void place(String job, StepDefinition step, FleetRunner... runners) {
        fixture.fleet().jobs().add(FleetFixture.job(job, step), JobProgress.NONE, true, 0);
        for (int index = 0; index < runners.length; index++) {
            placed.computeIfAbsent(runners[index], key -> new ArrayList<>())
                    .add(new Placed(new TaskKey(job, 0, 0, index), step));
        }
    }

    /** Lists the runners at intervals with the latency that a load and the filling tasks cause. */
    private void observe(DoubleUnaryOperator loadAtS, Set<ImagePair> harmful) {
        for (int i = 0; i < LISTINGS; i++) {
            fixture.advanceMs(LISTING_MS);
            double load = loadAtS.applyAsDouble(fixture.nowNanos() / 1e9);
            placed.forEach((runner, tasks) -> {
                List<RunnerListing.RunningRow> rows = new ArrayList<>();
                for (Placed task : tasks) {
                    rows.add(new RunnerListing.RunningRow(task.task(), 1, "", 50, usage(task, tasks, load, harmful)));
                }
                fixture.list(runner, rows, List.of());
            });
        }
    }

    private static double usage(Placed task, List<Placed> beside, double load, Set<ImagePair> harmful) {
        if (task.step().bestEffort()) {
            return task.step().demand().processorMillis();
        }
        double headroom = UNLOADED_HEADROOM * (1 - load);
        for (Placed other : beside) {
            if (other.step().bestEffort()) {
                double share = (double) other.step().demand().processorMillis() / CAPACITY_MILLIS;
                ImagePair pair = new ImagePair(task.step().image(), other.step().image());
                headroom -= (harmful.contains(pair) ? HARMFUL : HARMLESS) * share;
            }
        }
        return Math.round(task.step().latencyTargetMs() / Math.max(0.1, headroom));
    }

    private double learned(String latencyCritical, String bestEffort) {
        return fixture.fleet()
                .interferenceWeights()
                .get(new ImagePair(latencyCritical, bestEffort))
                .headroom();
    }

    /** Guards against one weight an image, which blames a filling image everywhere for what it does to one serving image. */
    @Test
    void learnsWhichPairsOfImagesDisturb() {
        FleetRunner first = fixture.addRunner("a", CAPACITY_MILLIS);
        FleetRunner second = fixture.addRunner("b", CAPACITY_MILLIS);
        FleetRunner third = fixture.addRunner("c", CAPACITY_MILLIS);
        place("web", FleetFixture.latencyCritical("web", 3, 1_000), first, second, third);
        place("api", FleetFixture.latencyCritical("api", 3, 1_000), first, second, third);
        place("x", FleetFixture.bestEffort("x"), first);
        place("y", FleetFixture.bestEffort("y"), second);
        observe(time -> 0.4, Set.of(new ImagePair("web", "x"), new ImagePair("api", "y")));
        assertThat(learned("web", "x")).isBetween(0.7 * HARMFUL, 1.3 * HARMFUL);
        assertThat(learned("api", "y")).isBetween(0.7 * HARMFUL, 1.3 * HARMFUL);
        assertThat(learned("web", "y")).isLessThan(HARMFUL / 4);
        assertThat(learned("api", "x")).isLessThan(HARMFUL / 4);
    }

    /** Guards against blaming filling tasks for the load of the serving ones, which rises and falls by itself. */
    @Test
    void doesNotAttributeLoadChangesToBestEffortTasks() {
        FleetRunner first = fixture.addRunner("a", CAPACITY_MILLIS);
        FleetRunner second = fixture.addRunner("b", CAPACITY_MILLIS);
        place("web", FleetFixture.latencyCritical("web", 2, 1_000), first, second);
        place("x", FleetFixture.bestEffort("x"), first);
        observe(time -> 0.48 + 0.24 * Math.sin(2 * Math.PI * time / 10), Set.of());
        assertThat(learned("web", "x")).isLessThan(HARMFUL / 4);
    }
}
