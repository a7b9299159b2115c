package org.tamarackline.entry.cluster;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * A fault, an operator's action or a shutdown in a simulated cluster, followed by a number of steps without events.
 *
 * @param kind kind of the event
 * @param node number of the affected node, modulo the number of nodes
 * @param argument meaning depends on the kind: length of a pause in steps, number of calls before a pause inside a
 *     call, or number from which it follows by how many versions a configuration change is outdated
 * @param stepsAfter number of steps that follow
 */
record SimulatedEvent(Kind kind, int node, int argument, int stepsAfter) {

    enum Kind {
        NOTHING,
        CRASH,
        RESTART,
        PAUSE,
        PAUSE_IN_CALL,
        PLATFORM_DOWN,
        PLATFORM_UP,
        PLATFORM_UNREACHABLE,
        PEERS_UNREACHABLE,
        NODE_REACHABLE,
        LOSE_WRITE_RESPONSE,
        LOSE_SHARD_WRITE_RESPONSE,
        DELAY_WRITE,
        DELAY_SHARD_WRITE,
        DELAY_MESSAGE,
        CHANGE_CONFIGURATION,
        CHANGE_STALE_CONFIGURATION,
        LEAVE
    }

    static Arbitrary<SimulatedEvent> any() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(1, 40),
                        Arbitraries.integers().between(0, 16))
                .as(SimulatedEvent::new);
    }

    void applyTo(SimulatedCluster cluster) {
        switch (kind) {
            case NOTHING -> {}
            case CRASH -> cluster.crash(node);
            case RESTART -> cluster.restart(node);
            case PLATFORM_DOWN -> cluster.setPlatformDown(true);
            case PLATFORM_UP -> cluster.setPlatformDown(false);
            default -> cluster.process(node).ifPresent(process -> applyTo(cluster, process));
        }
        cluster.run(stepsAfter);
    }

    private void applyTo(SimulatedCluster cluster, SimulatedNode process) {
        switch (kind) {
            case PAUSE -> {
                process.paused = true;
                process.pausedUntilMs = cluster.nowMs() + argument * SimulatedCluster.STEP_MS;
            }
            case PAUSE_IN_CALL -> {
                process.callsUntilPause = argument;
                process.pauseBeforeEffect = stepsAfter % 2 == 0;
                process.pauseInCallMs = (argument % 8 + 1) * 2_000;
            }
            case PLATFORM_UNREACHABLE -> process.platformUnreachable = true;
            case PEERS_UNREACHABLE -> process.peersUnreachable = true;
            case NODE_REACHABLE -> {
                process.platformUnreachable = false;
                process.peersUnreachable = false;
            }
            case LOSE_WRITE_RESPONSE -> process.loseResponseOfKeyPart = "/";
            case LOSE_SHARD_WRITE_RESPONSE -> process.loseResponseOfKeyPart = "/shard/";
            case DELAY_WRITE -> process.delayWriteOfKeyPart = "/";
            case DELAY_SHARD_WRITE -> process.delayWriteOfKeyPart = "/shard/";
            case DELAY_MESSAGE -> process.delayNextMessage = true;
            case CHANGE_CONFIGURATION -> cluster.changeConfiguration(process, cluster.currentConfigurationVersion());
            case CHANGE_STALE_CONFIGURATION ->
                cluster.changeConfiguration(process, Math.max(0, cluster.currentConfigurationVersion() - argument % 3));
            case LEAVE -> {
                if (!process.paused) {
                    process.clusterNode.leave();
                    process.clusterNode.handOverAll();
                    process.clusterNode.stop();
                    cluster.crash(node);
                }
            }
            default -> throw new IllegalStateException("event does not affect a single node: " + kind);
        }
    }
}
