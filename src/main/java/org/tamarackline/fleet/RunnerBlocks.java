package org.tamarackline.fleet;

import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.tamarackline.core.fleet.FleetRunner;
import org.tamarackline.core.fleet.StartBlock;

/** Logs for each runner why it gets no new tasks, unless other events tell. */
final class RunnerBlocks {

    private static final String EVENT = "runner-blocked";

    /** Blocks of which {@code runner-silent}, {@code runner-draining} and the events of cordons tell. */
    private static final Set<StartBlock> LOGGED_ELSEWHERE = EnumSet.of(
            StartBlock.NOT_IN_DIRECTORY,
            StartBlock.DRAINING,
            StartBlock.NO_STATUS,
            StartBlock.SILENT,
            StartBlock.CORDONED);

    private final RunnerEventLog events;
    private final Map<String, StartBlock> loggedBlocks = new HashMap<>();

    RunnerBlocks(RunnerEventLog events) {
        this.events = events;
    }

    /** Logs the blocks that began, or whose reason changed, since the last call. */
    void logChanges(Collection<RunnerSession> sessions) {
        for (RunnerSession session : sessions) {
            FleetRunner runner = session.runner();
            StartBlock block = runner.startBlock();
            StartBlock logged = loggedBlocks.getOrDefault(runner.id(), StartBlock.NONE);
            if (block == logged) {
                continue;
            }
            loggedBlocks.put(runner.id(), block);
            if (block != StartBlock.NONE && !LOGGED_ELSEWHERE.contains(block)) {
                events.write(EVENT, runner.id(), OptionalLong.empty(), block.toString());
            }
        }
    }

    /** Forgets a runner that has no session any more. */
    void remove(String runner) {
        loggedBlocks.remove(runner);
    }
}
