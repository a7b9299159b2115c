package org.tamarackline.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Open connections of one node process to its runners. Connections may go silent: all that is sent over them from then on
 * is lost, in both directions, until the timeout of a call closes them.
 */
final class ConnectionPools {

    /** Largest number of open connections to an address. */
    private static final int MAX_CONNECTIONS = 8;

    /** Time after which an unused connection is closed. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    /** A connection, which carries one call at a time. */
    static final class Connection {

        private boolean silent;
        private long lastUseNanos;

        boolean silent() {
            return silent;
        }
    }

    /** Connections to one address; a call takes the idle one that was used last. */
    private static final class Pool {

        private final Deque<Connection> idle = new ArrayDeque<>();
        private final Set<Connection> inUse = new LinkedHashSet<>();
    }

    private final ManualLoop loop;
    private final Map<String, Pool> pools = new TreeMap<>();

    ConnectionPools(ManualLoop loop) {
        this.loop = loop;
    }

    private Pool pool(String address) {
        Pool pool = pools.computeIfAbsent(address, key -> new Pool());
        pool.idle.removeIf(connection -> loop.nowNanos() - connection.lastUseNanos > IDLE_TIMEOUT.toNanos());
        return pool;
    }

    /** Takes an idle connection to an address, or opens one if there is none. */
    Connection take(String address) {
        Connection idle = pool(address).idle.pollFirst();
        return idle == null ? open(address) : use(address, idle);
    }

    /** Opens a connection to an address. */
    Connection open(String address) {
        return use(address, new Connection());
    }

    private Connection use(String address, Connection connection) {
        pool(address).inUse.add(connection);
        return connection;
    }

    /** Gives a connection back after the answer to its call. */
    void giveBack(String address, Connection connection) {
        Pool pool = pool(address);
        connection.lastUseNanos = loop.nowNanos();
        if (pool.inUse.remove(connection) && pool.idle.size() < MAX_CONNECTIONS) {
            pool.idle.addFirst(connection);
        }
    }

    /** Closes a connection whose call got no answer. */
    void close(String address, Connection connection) {
        pool(address).inUse.remove(connection);
    }

    /**
     * Makes each open connection to an address silent with a probability. If there are any, bursts of calls have left a
     * random number of them open.
     */
    void silence(String address, double probability, Random random) {
        Pool pool = pool(address);
        int open = 1 + random.nextInt(MAX_CONNECTIONS);
        if (pool.inUse.isEmpty() && pool.idle.isEmpty()) {
            return;
        }
        while (pool.inUse.size() + pool.idle.size() < open) {
            Connection connection = new Connection();
            connection.lastUseNanos = loop.nowNanos();
            pool.idle.addLast(connection);
        }
        List<Connection> connections = new ArrayList<>(pool.idle);
        connections.addAll(pool.inUse);
        connections.forEach(connection -> connection.silent |= random.nextDouble() < probability);
    }
}
