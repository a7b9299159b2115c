package org.tamarackline.entry.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.membership.NodeRow;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;
import org.tamarackline.core.model.ShardId;
import org.tamarackline.core.ownership.ShardRow;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;

/** Reads and writes the node and shard rows of one region in the platform's table. */
final class ClusterTable {

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int SCAN_PAGE_ROWS = 500;
    /** Shared, because each mapper has to inspect every type once. */
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final TableStore store;
    private final String nodePrefix;
    private final String shardPrefix;

    ClusterTable(TableStore store, Region region) {
        this.store = store;
        nodePrefix = "region/" + region + "/node/";
        shardPrefix = "region/" + region + "/shard/";
    }

    /** Returns the JSON mapper for the rows of this package. */
    static ObjectMapper mapper() {
        return MAPPER;
    }

    NodeScan scanNodes() throws PlatformUnavailableException {
        List<Row> rows = scan(nodePrefix);
        List<VersionedNodeRow> nodes = new ArrayList<>();
        for (Row row : rows) {
            parse(row, NodeRow.class).ifPresent(node -> nodes.add(new VersionedNodeRow(node, row.version())));
        }
        return new NodeScan(nodes, nodes.size() == rows.size());
    }

    Optional<VersionedNodeRow> readNode(NodeId node) throws PlatformUnavailableException {
        return store.get(nodePrefix + node)
                .flatMap(row -> parse(row, NodeRow.class).map(value -> new VersionedNodeRow(value, row.version())));
    }

    List<VersionedShardRow> scanShards() throws PlatformUnavailableException {
        List<VersionedShardRow> shards = new ArrayList<>();
        for (Row row : scan(shardPrefix)) {
            parse(row, ShardRow.class).ifPresent(shard -> shards.add(new VersionedShardRow(shard, row.version())));
        }
        return shards;
    }

    void writeNode(NodeRow row, long expectedVersion, String token)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        String key = nodePrefix + row.node();
        store.transact(new TableTransaction(
                token,
                List.of(new TableTransaction.Check(key, expectedVersion)),
                List.of(new TableTransaction.Write(key, MAPPER.valueToTree(row)))));
    }

    void deleteNode(NodeId node, long expectedVersion)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        String key = nodePrefix + node;
        store.transact(new TableTransaction(
                newTransactionToken(),
                List.of(new TableTransaction.Check(key, expectedVersion)),
                List.of(new TableTransaction.Write(key, null))));
    }

    /**
     * Writes shard rows in one transaction. The version of each is the one that the row must have in the table, 0 for a
     * new row.
     */
    void writeShards(List<VersionedShardRow> shards)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException {
        List<TableTransaction.Check> checks = new ArrayList<>();
        List<TableTransaction.Write> writes = new ArrayList<>();
        for (VersionedShardRow shard : shards) {
            String key = shardKey(shard.row().shard());
            checks.add(new TableTransaction.Check(key, shard.version()));
            writes.add(new TableTransaction.Write(key, MAPPER.valueToTree(shard.row())));
        }
        store.transact(new TableTransaction(newTransactionToken(), checks, writes));
    }

    static String newTransactionToken() {
        return UUID.randomUUID().toString();
    }

    private String shardKey(ShardId shard) {
        return shardPrefix + shard;
    }

    private List<Row> scan(String prefix) throws PlatformUnavailableException {
        List<Row> all = new ArrayList<>();
        String after = "";
        while (true) {
            List<Row> page = store.scan(prefix, after, SCAN_PAGE_ROWS);
            all.addAll(page);
            if (page.size() < SCAN_PAGE_ROWS) {
                return all;
            }
            after = page.get(page.size() - 1).key();
        }
    }

    private <T> Optional<T> parse(Row row, Class<T> type) {
        try {
            return Optional.of(MAPPER.treeToValue(row.value(), type));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.atSevere().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
                    "row %s cannot be read; correct or delete it", row.key());
            return Optional.empty();
        }
    }
}
