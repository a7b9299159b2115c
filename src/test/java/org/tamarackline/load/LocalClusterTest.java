package org.tamarackline.load;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tamarackline.settings.Addresses;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LocalClusterTest {

    private static final int ENTRY_NODES = 3;
    private static final int PORTS_PER_NODE = 3;

    @TempDir
    private Path directory;

    /** Guards against an entry node that cannot bind its port, because another program got it before or between starts. */
    @Test
    void anotherProgramDoesNotGetThePortOfAnEntryNodeThatDoesNotRun() throws Exception {
        List<InetSocketAddress> addresses;
        try (LocalCluster cluster = LocalCluster.prepare(plan())) {
            addresses = socketAddresses(cluster);
            assertThat(addresses).doesNotHaveDuplicates().hasSize(ENTRY_NODES * PORTS_PER_NODE);
            for (InetSocketAddress address : addresses) {
                assertThatThrownBy(() -> bind(address, false).close()).isInstanceOf(BindException.class);
                for (int start = 0; start < 2; start++) {
                    bind(address, true).close();
                    assertThatThrownBy(() -> bind(address, false).close()).isInstanceOf(BindException.class);
                }
            }
        }
        for (InetSocketAddress address : addresses) {
            bind(address, true).close();
        }
    }

    /** Listens on the address like an entry node if it may be reused, otherwise like a program that needs a free port. */
    private static ServerSocket bind(InetSocketAddress address, boolean reuse) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.setReuseAddress(reuse);
            socket.bind(address);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static List<InetSocketAddress> socketAddresses(LocalCluster cluster) {
        return cluster.entryAddresses().stream()
                .flatMap(node -> Stream.of(node.peer(), node.caller(), node.operator()))
                .map(address -> new InetSocketAddress(Addresses.host(address), Addresses.port(address)))
                .toList();
    }

    private LocalClusterPlan plan() {
        return new LocalClusterPlan(Path.of("unused"), directory, "quotes", 1, 1, 1, ENTRY_NODES, Map.of());
    }
}
