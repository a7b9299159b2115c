package org.tamarackline.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Since when the directory has shown each node that runners will leave, to check the starts that the node sends. */
final class LeavingRunners {

    /** Time for which a runner that has announced to leave still accepts starts. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

    private record DirectoryEntry(SimulatedNode node, String runner) {}

    private final ManualLoop loop;
    private final NodeContacts contacts;
    private final RunHistory history;
    private final Map<DirectoryEntry, Long> leavingSinceNanos = new HashMap<>();

    LeavingRunners(ManualLoop loop, NodeContacts contacts, RunHistory history) {
        this.loop = loop;
        this.contacts = contacts;
        this.history = history;
    }

    /** The directory shows a node a new entry of a runner. */
    void onEntry(SimulatedNode node, String runner, boolean draining) {
        DirectoryEntry entry = new DirectoryEntry(node, runner);
        if (draining) {
            leavingSinceNanos.putIfAbsent(entry, loop.nowNanos());
        } else {
            leavingSinceNanos.remove(entry);
        }
    }

    /** A node sends a start to a runner. */
    void onStartSent(SimulatedNode node, String runner, RunnerCalls.StartCommand command) {
        Long sinceNanos = leavingSinceNanos.get(new DirectoryEntry(node, runner));
        boolean late = sinceNanos != null && loop.nowNanos() - sinceNanos > DRAIN_TIME.toNanos();
        if (late && contacts.inTouch(node)) {
            history.report(
                    RunHistory.Rule.STARTED_ON_LEAVING_RUNNER,
                    command.task().toString(),
                    "%s sends a start to %s, which has said for %d ms that it will leave"
                            .formatted(node.name(), runner, (loop.nowNanos() - sinceNanos) / 1_000_000));
        }
    }
}
