package org.tamarackline.entry.cluster;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/**
 * One event in the life of a simulated cluster, followed by some time.
 *
 * @param kind what happens
 * @param node number of the node to which it happens
 * @param amount length of a pause in steps, number of calls before a pause, or expected version
 * @param stepsAfter steps that follow
 */
record Action(Kind kind, int node, int amount, int stepsAfter) {

    enum Kind {
        NOTHING,
        CRASH,
        RESTART,
        PAUSE,
        PAUSE_IN_CALL,
        PLATFORM_DOWN,
        PLATFORM_UP,
        CUT_PLATFORM,
        CUT_PEERS,
        HEAL_NODE,
        LOSE_ANSWER,
        LOSE_SHARD_ANSWER,
        DELAY_WRITE,
        DELAY_SHARD_WRITE,
        DELAY_MESSAGE,
        CHANGE,
        STALE_CHANGE,
        LEAVE
    }

    static Arbitrary<Action> any() {
        return Combinators.combine(
                        Arbitraries.of(Kind.class),
                        Arbitraries.integers().between(0, 3),
                        Arbitraries.integers().between(1, 40),
                        Arbitraries.integers().between(0, 16))
                .as(Action::new);
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
                process.pausedUntilMs = cluster.nowMs() + amount * SimulatedCluster.STEP_MS;
            }
            case PAUSE_IN_CALL -> {
                process.callsUntilPause = amount;
                process.pauseBeforeEffect = stepsAfter % 2 == 0;
                process.pauseInCallMs = (amount % 8 + 1) * 2_000;
            }
            case CUT_PLATFORM -> process.platformCut = true;
            case CUT_PEERS -> process.peersCut = true;
            case HEAL_NODE -> {
                process.platformCut = false;
                process.peersCut = false;
            }
            case LOSE_ANSWER -> process.loseAnswerOf = "/";
            case LOSE_SHARD_ANSWER -> process.loseAnswerOf = "/shard/";
            case DELAY_WRITE -> process.delayWriteOf = "/";
            case DELAY_SHARD_WRITE -> process.delayWriteOf = "/shard/";
            case DELAY_MESSAGE -> process.delayNextMessage = true;
            case CHANGE -> cluster.change(process, cluster.currentVersion());
            case STALE_CHANGE -> cluster.change(process, Math.max(0, cluster.currentVersion() - amount % 3));
            case LEAVE -> {
                if (!process.paused) {
                    process.clusterNode.leave();
                    process.clusterNode.handOverAll();
                    process.clusterNode.stop();
                    cluster.crash(node);
                }
            }
            default -> throw new IllegalStateException("not a fault of one node: " + kind);
        }
    }
}
