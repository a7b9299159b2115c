package org.tamarackline.core.routing;

/**
 * Limits the connections of one node to a runner, by dividing those that the runner accepts evenly among the nodes.
 *
 * @param nodes number of live nodes, including this one
 */
public record ConnectionLimit(int nodes) {

    /** Returns the number of connections that one node may have to {@code runner}, at least 1. */
    public int connectionsTo(Runner runner) {
        return Math.max(1, runner.connections() / Math.max(1, nodes));
    }
}
