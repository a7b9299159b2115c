package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Stores configurations, and checks that the nodes in touch with the store bring each into force in time. */
final class SimulatedOperator {

    /** Time from the confirmation of a configuration until it is in force. */
    private static final Duration APPLY_BOUND = Duration.ofSeconds(2);

    private static final int MAX_TIME_BETWEEN_CHANGES_MS = 3_000;

    private record Confirmation(long version, long nanos) {}

    private final ManualLoop loop;
    private final SimulatedStore store;
    private final NodeContacts contacts;
    private final RunHistory history;
    private final Random random;
    private final Deque<Confirmation> notYetDue = new ArrayDeque<>();
    private final Map<SimulatedNode, Long> reportedVersions = new HashMap<>();
    private long newestVersion;
    private long dueVersion;

    SimulatedOperator(ManualLoop loop, SimulatedStore store, NodeContacts contacts, RunHistory history, Random random) {
        this.loop = loop;
        this.store = store;
        this.contacts = contacts;
        this.history = history;
        this.random = random;
    }

    /** Stores a first configuration, and further ones at random times. */
    void start() {
        storeNextConfiguration();
    }

    private void storeNextConfiguration() {
        newestVersion += 1 + random.nextInt(3);
        store.apply(ConfigurationRecords.storing(newestVersion));
        notYetDue.add(new Confirmation(newestVersion, loop.nowNanos()));
        loop.schedule(Duration.ofMillis(1 + random.nextInt(MAX_TIME_BETWEEN_CHANGES_MS)), this::storeNextConfiguration);
    }

    /** Checks the configurations in force; to be called at short intervals. */
    void check(List<SimulatedNode> nodes) {
        while (!notYetDue.isEmpty() && loop.nowNanos() - notYetDue.getFirst().nanos() > APPLY_BOUND.toNanos()) {
            dueVersion = notYetDue.removeFirst().version();
        }
        for (SimulatedNode node : nodes) {
            if (!contacts.inTouch(node)) {
                continue;
            }
            long version = node.process().configuration().current().version();
            if (version < dueVersion && reportedVersions.getOrDefault(node, 0L) < dueVersion) {
                reportedVersions.put(node, dueVersion);
                history.report(
                        RunHistory.Rule.CONFIGURATION_LATE,
                        node.name(),
                        "has version " + version + ", due is " + dueVersion);
            }
        }
    }
}
