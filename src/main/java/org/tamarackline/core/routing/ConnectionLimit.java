package org.tamarackline.core.routing;

/**
 * Divides the connections that a runner accepts evenly among the nodes.
 *
 * @param nodes live nodes, this one included
 */
public record ConnectionLimit(int nodes) {

    /** Returns how many connections one node may hold to {@code runner}, at least 1. */
    public int connectionsTo(Runner runner) {
        return Math.max(1, runner.connections() / Math.max(1, nodes));
    }
}
