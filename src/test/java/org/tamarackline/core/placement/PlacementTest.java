package org.tamarackline.core.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.WorkerId;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against wrong choices of workers, of tasks to evict and of the team to serve next. */
class PlacementTest {

    private static final Resources WORKER_CAPACITY = new Resources(10_000, 10_000, 0);
    private static final TeamName TEAM = new TeamName("dyeing");
    private static final TeamName OTHER_TEAM = new TeamName("knotting");

    private static WorkerView worker(String id, RunningTask... running) {
        Resources occupied = Arrays.stream(running).map(RunningTask::size).reduce(Resources.NONE, Resources::plus);
        return new WorkerView(new WorkerId(id), WORKER_CAPACITY, occupied, List.of(running));
    }

    private static RunningTask running(String id, Profile profile, long processorMillis, long unsavedMs) {
        return new RunningTask(TaskId.parse(id), new Resources(processorMillis, 100, 0), profile, unsavedMs, true);
    }

    private static PlacementRequest request(Profile profile, long processorMillis, WorkerId... excludedWorkers) {
        return new PlacementRequest(
                TaskId.parse("new.0"), new Resources(processorMillis, 100, 0), profile, Set.of(excludedWorkers));
    }

    /** Guards against placing all tasks on one worker, and against placing a task on an excluded worker. */
    @Test
    void spreadsOverTheWorkers() {
        WorkerView busy = worker("w1", running("a.0", BuiltInProfiles.OVERNIGHT_PLAN, 2_000, 0));
        WorkerView idle = worker("w2");
        SpreadPolicy policy = new SpreadPolicy();
        assertThat(policy.choose(request(BuiltInProfiles.OVERNIGHT_PLAN, 1_000), List.of(busy, idle)))
                .contains(idle.id());
        assertThat(policy.choose(request(BuiltInProfiles.OVERNIGHT_PLAN, 1_000, idle.id()), List.of(busy, idle)))
                .contains(busy.id());
        assertThat(policy.choose(request(BuiltInProfiles.OVERNIGHT_PLAN, 11_000), List.of(busy, idle)))
                .isEmpty();
    }

    /** Guards against batch tasks that fill a worker, so that latency-critical tasks always have to evict. */
    @Test
    void keepsCapacityForLatencyCriticalWork() {
        WorkerView nearlyFull = worker("w1", running("a.0", BuiltInProfiles.OVERNIGHT_PLAN, 8_500, 0));
        SpreadPolicy policy = new SpreadPolicy();
        assertThat(policy.choose(request(BuiltInProfiles.OVERNIGHT_PLAN, 1_000), List.of(nearlyFull)))
                .isEmpty();
        assertThat(policy.choose(request(BuiltInProfiles.QUICK_ANSWER, 1_000), List.of(nearlyFull)))
                .contains(nearlyFull.id());
        assertThat(policy.choose(request(BuiltInProfiles.OVERNIGHT_PLAN, 10_000), List.of(worker("w2"))))
                .contains(new WorkerId("w2"));
    }

    /** Guards against an eviction that loses more work than another one would. */
    @Test
    void evictsTheLeastUnsavedWork() {
        WorkerView first = worker("w1", running("a.0", BuiltInProfiles.OVERNIGHT_PLAN, 10_000, 9_000));
        WorkerView second = worker(
                "w2",
                running("b.0", BuiltInProfiles.OVERNIGHT_PLAN, 5_000, 4_000),
                running("b.1", BuiltInProfiles.OVERNIGHT_PLAN, 5_000, 1_000));
        assertThat(new EvictionPlanner().planFor(request(BuiltInProfiles.QUICK_ANSWER, 5_000), List.of(first, second)))
                .hasValueSatisfying(plan -> assertThat(plan.evicted()).containsExactly(TaskId.parse("b.1")));
    }

    /** Guards against the eviction of tasks that may not be checkpointed, were just evicted or have at least the same priority. */
    @Test
    void evictsOnlyEvictableTasks() {
        WorkerView latencyCritical = worker("w1", running("a.0", BuiltInProfiles.QUICK_ANSWER, 10_000, 0));
        RunningTask evictedBefore = new RunningTask(
                TaskId.parse("b.0"), new Resources(10_000, 100, 0), BuiltInProfiles.OVERNIGHT_PLAN, 0, false);
        WorkerView recent = worker("w2", evictedBefore);
        WorkerView higher = worker("w3", running("c.0", BuiltInProfiles.STANDING_WATCHER, 10_000, 0));
        EvictionPlanner evictionPlanner = new EvictionPlanner();
        assertThat(evictionPlanner.planFor(
                        request(BuiltInProfiles.QUICK_ANSWER, 5_000), List.of(latencyCritical, recent)))
                .isEmpty();
        assertThat(evictionPlanner.planFor(request(BuiltInProfiles.OVERNIGHT_PLAN, 5_000), List.of(higher)))
                .isEmpty();
    }

    /** Guards against latency-critical tasks that stop all batch tasks with a completion target. */
    @Test
    void leavesAPartOfTheTasksWithATargetRunning() {
        WorkerView worker = worker(
                "w1",
                running("a.0", BuiltInProfiles.OVERNIGHT_PLAN, 2_500, 0),
                running("a.1", BuiltInProfiles.OVERNIGHT_PLAN, 2_500, 0),
                running("a.2", BuiltInProfiles.OVERNIGHT_PLAN, 2_500, 0),
                running("a.3", BuiltInProfiles.OVERNIGHT_PLAN, 2_500, 0));
        EvictionPlanner evictionPlanner = new EvictionPlanner();
        assertThat(evictionPlanner.planFor(request(BuiltInProfiles.QUICK_ANSWER, 7_500), List.of(worker)))
                .isPresent();
        assertThat(evictionPlanner.planFor(request(BuiltInProfiles.QUICK_ANSWER, 10_000), List.of(worker)))
                .isEmpty();
    }

    /** Guards against evictions where throttling suffices, and against throttling for ever where it does not. */
    @Test
    void throttlesBeforeItEvictsWhenAWorkerShrinks() {
        RunningTask task = running("a.0", BuiltInProfiles.OVERNIGHT_PLAN, 6_000, 0);
        WorkerView shrunk =
                new WorkerView(new WorkerId("w1"), new Resources(5_000, 10_000, 0), task.size(), List.of(task));
        EvictionPlanner evictionPlanner = new EvictionPlanner();
        assertThat(evictionPlanner.planForReducedCapacity(shrunk, false))
                .hasValueSatisfying(plan -> assertThat(plan.throttled()).containsExactly(task.task()));
        assertThat(evictionPlanner.planForReducedCapacity(shrunk, true))
                .hasValueSatisfying(plan -> assertThat(plan.evicted()).containsExactly(task.task()));
        assertThat(evictionPlanner.planForReducedCapacity(worker("w2", task), false))
                .isEmpty();
    }

    /** Guards against a team that gets resources that another team is guaranteed. */
    @Test
    void countsGuaranteesAndDominantShares() {
        QuotaTracker quotaTracker =
                new QuotaTracker(WORKER_CAPACITY, List.of(new TeamQuota(TEAM, new Resources(4_000, 4_000, 0))));
        quotaTracker.add(TEAM, new Resources(3_000, 1_000, 0));
        quotaTracker.add(OTHER_TEAM, new Resources(1_000, 5_000, 0));
        assertThat(quotaTracker.isWithinGuarantee(TEAM, new Resources(1_000, 1_000, 0)))
                .isTrue();
        assertThat(quotaTracker.isWithinGuarantee(TEAM, new Resources(2_000, 1_000, 0)))
                .isFalse();
        assertThat(quotaTracker.isWithinGuarantee(OTHER_TEAM, new Resources(1, 1, 0)))
                .isFalse();
        assertThat(quotaTracker.dominantShare(TEAM)).isEqualTo(0.3);
        assertThat(quotaTracker.dominantShare(OTHER_TEAM)).isEqualTo(0.5);
    }
}
