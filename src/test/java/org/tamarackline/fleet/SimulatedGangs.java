package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.tamarackline.core.fleet.EndReason;
import org.tamarackline.core.fleet.JobDefinition;
import org.tamarackline.core.fleet.RunnerStatus;
import org.tamarackline.core.fleet.TaskKey;

/**
 * The runs of gangs: they work once all members are there, end as done together, and break when one of them ends. Passes
 * all events on to a {@link RunHistory}.
 */
final class SimulatedGangs implements ProtocolRunner.Observer {

    /** Time for which members wait for the others. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(3);

    /** Of this many runs one fails while failures are drawn. */
    private static final int RUNS_PER_FAILURE = 4;

    private record GangKey(String job, int occurrence, int step, long runNumber) {}

    /** Members of a gang that are there. */
    private static final class Gang {

        private final Map<TaskKey, ProtocolRunner> members = new LinkedHashMap<>();
    }

    private final ManualLoop loop;
    private final RunHistory history;
    private final Random random;
    private final Map<GangKey, Gang> gangs = new LinkedHashMap<>();
    private boolean failing = true;

    SimulatedGangs(ManualLoop loop, RunHistory history, Random random) {
        this.loop = loop;
        this.history = history;
        this.random = random;
    }

    /** Makes no further gangs fail. */
    void endFailures() {
        failing = false;
    }

    private static GangKey keyOf(TaskKey task, long number) {
        return new GangKey(task.job(), task.occurrence(), task.step(), number);
    }

    @Override
    public void started(ProtocolRunner runner, TaskKey task, long runNumber, long epoch) {
        history.started(runner, task, runNumber, epoch);
        JobDefinition job = history.job(task.job());
        if (!job.steps().get(task.step()).gang()) {
            return;
        }
        GangKey key = keyOf(task, runNumber);
        int size = job.steps().get(task.step()).count();
        Gang gang = gangs.get(key);
        if (gang == null) {
            gang = new Gang();
            gangs.put(key, gang);
            endIfIncomplete(key, gang, size);
        }
        gang.members.put(task, runner);
        if (gang.members.size() == size) {
            work(key, gang);
        }
    }

    private void endIfIncomplete(GangKey key, Gang gang, int size) {
        loop.schedule(MAX_WAIT, () -> {
            if (gangs.get(key) == gang && gang.members.size() < size) {
                end(key, List.of(), EndReason.GANG_INCOMPLETE);
            }
        });
    }

    private void work(GangKey key, Gang gang) {
        boolean fails = failing && random.nextInt(RUNS_PER_FAILURE) == 0;
        int failingMembers = fails ? 1 + random.nextInt(gang.members.size()) : 0;
        List<TaskKey> failed = List.copyOf(gang.members.keySet()).subList(0, failingMembers);
        loop.schedule(Duration.ofMillis(100 + random.nextInt(1_500)), () -> {
            if (gangs.get(key) == gang) {
                end(key, failed, failed.isEmpty() ? EndReason.DONE : EndReason.GANG_BROKEN);
            }
        });
    }

    /** Ends the members that are there: those that failed so, the others for a reason. */
    private void end(GangKey key, List<TaskKey> failed, EndReason reason) {
        Gang ended = gangs.remove(key);
        ended.members.forEach(
                (task, runner) -> runner.end(task, key.runNumber(), failed.contains(task) ? EndReason.FAILED : reason));
    }

    @Override
    public void ended(ProtocolRunner runner, RunnerStatus.EndedRun end) {
        history.ended(runner, end);
        GangKey key = keyOf(end.task(), end.runNumber());
        if (gangs.containsKey(key)) {
            gangs.get(key).members.remove(end.task());
            end(key, List.of(), EndReason.GANG_BROKEN);
        }
    }

    @Override
    public void acknowledged(ProtocolRunner runner, RunnerStatus.EndedRun end, boolean leaseExpiredSinceEnd) {
        history.acknowledged(runner, end, leaseExpiredSinceEnd);
    }

    @Override
    public void processEnded(ProtocolRunner runner) {
        history.processEnded(runner);
        for (GangKey key : new ArrayList<>(gangs.keySet())) {
            Gang gang = gangs.get(key);
            if (gang != null && gang.members.values().removeIf(member -> member == runner)) {
                end(key, List.of(), EndReason.GANG_BROKEN);
            }
        }
    }
}
