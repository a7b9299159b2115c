package org.tamarackline.core.task;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.NullNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TaskId;
import org.tamarackline.core.model.TeamName;
import org.tamarackline.core.model.WorkerId;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against wrong state transitions of tasks, and against transitions that reuse an attempt number or lose a checkpoint. */
class TransitionsTest {

    private static final WorkerId WORKER = new WorkerId("w1");
    private static final TaskRow.Outcome OUTCOME = new TaskRow.Outcome(Optional.of("result/1"), Optional.of(0), 5);

    private static final TaskRow PENDING = TaskRow.submitted(
            TaskId.parse("j1.0"),
            new TaskSpec(
                    new CallerName("lianhua"),
                    new TeamName("dyeing"),
                    new ProfileName("overnight plan"),
                    new Resources(1, 1, 0),
                    NullNode.getInstance()));

    /** The states that events can reach, by the state that they are applied to. */
    private static final Map<TaskState, Set<TaskState>> ALLOWED = allowed();

    private static Map<TaskState, Set<TaskState>> allowed() {
        Map<TaskState, Set<TaskState>> allowed = new EnumMap<>(TaskState.class);
        allowed.put(TaskState.PENDING, EnumSet.of(TaskState.ASSIGNED, TaskState.PARKED, TaskState.CANCELLED));
        Set<TaskState> ends = EnumSet.of(TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED, TaskState.PENDING);
        allowed.put(TaskState.ASSIGNED, plus(ends, TaskState.RUNNING));
        allowed.put(TaskState.RUNNING, plus(ends, TaskState.EVICTING));
        allowed.put(TaskState.EVICTING, plus(ends, TaskState.RUNNING));
        allowed.put(TaskState.PARKED, EnumSet.of(TaskState.PENDING, TaskState.CANCELLED));
        return allowed;
    }

    private static Set<TaskState> plus(Set<TaskState> states, TaskState more) {
        Set<TaskState> extended = EnumSet.copyOf(states);
        extended.add(more);
        return extended;
    }

    private static Stream<TaskEvent> events() {
        return Stream.of(
                new TaskEvent.Assigned(WORKER),
                new TaskEvent.Started(),
                new TaskEvent.Finished(OUTCOME),
                new TaskEvent.Exited(OUTCOME),
                new TaskEvent.WorkerFailed(WORKER, TaskRow.Work.NONE),
                new TaskEvent.Interrupted(Optional.of("checkpoint/1"), TaskRow.Work.NONE),
                new TaskEvent.EvictionBegun(),
                new TaskEvent.EvictionAbandoned(),
                new TaskEvent.Cancelled(3),
                new TaskEvent.Parked(ParkReason.FITS_NOWHERE),
                new TaskEvent.Unparked());
    }

    private static TaskRow after(TaskRow row, TaskEvent event) {
        return ((Transition.Changed) Transitions.apply(row, event)).row();
    }

    /** Guards against transitions that the life cycle does not allow, such as one out of a final state. */
    @ParameterizedTest
    @EnumSource(TaskState.class)
    void reachesExactlyTheAllowedStates(TaskState state) {
        TaskRow row = after(PENDING, new TaskEvent.Assigned(WORKER)).withState(state);
        Set<TaskState> reached = EnumSet.noneOf(TaskState.class);
        events().map(event -> Transitions.apply(row, event))
                .filter(Transition.Changed.class::isInstance)
                .forEach(changed ->
                        reached.add(((Transition.Changed) changed).row().state()));
        assertThat(reached).isEqualTo(ALLOWED.getOrDefault(state, Set.of()));
    }

    /** Guards against a new attempt with the number of an abandoned one. */
    @Test
    void raisesTheAttemptWheneverOneIsAbandoned() {
        TaskRow running = after(after(PENDING, new TaskEvent.Assigned(WORKER)), new TaskEvent.Started());
        TaskRow again = after(running, new TaskEvent.Interrupted(Optional.of("checkpoint/1"), TaskRow.Work.NONE));
        assertThat(again.attempt()).isEqualTo(2);
        assertThat(again.checkpointKey()).contains("checkpoint/1");
        assertThat(again.worker()).isEmpty();
    }

    /** Guards against a worker that counts twice towards the poison threshold, and against a lost checkpoint. */
    @Test
    void countsEachFailedWorkerOnceAndKeepsTheCheckpoint() {
        TaskRow row = after(
                after(PENDING, new TaskEvent.Assigned(WORKER)),
                new TaskEvent.Interrupted(Optional.of("checkpoint/1"), TaskRow.Work.NONE));
        for (int i = 0; i < 2; i++) {
            row = after(
                    after(row, new TaskEvent.Assigned(WORKER)), new TaskEvent.WorkerFailed(WORKER, TaskRow.Work.NONE));
        }
        assertThat(row.failedOn()).containsExactly(WORKER);
        assertThat(row.checkpointKey()).contains("checkpoint/1");
    }
}
