package org.tamarackline.entry.cluster;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.flogger.FluentLogger;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.Row;
import org.tamarackline.store.TableStore;
import org.tamarackline.store.TableTransaction;
import org.tamarackline.store.TransactionConflictException;

/**
 * Reads and writes the versions of the configuration in the platform's table.
 *
 * <p>The row {@code config/current} holds the number and the hash of the current version. The content of a version is
 * compressed and split into immutable rows {@code config/content/<version>/<part>}, written in the transaction that
 * makes the version current.
 */
final class ConfigurationTable {

    /**
     * Number of versions whose content is kept, so that a node can still read a version that has just been replaced.
     */
    static final int RETAINED_VERSIONS = 20;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String CURRENT_KEY = "config/current";
    private static final String CONTENT_PREFIX = "config/content/";
    private static final String HASH_ALGORITHM = "SHA-256";
    /** Encodes to 60,000 characters of Base64, which leaves room for the rest of a row of 64 KB. */
    private static final int MAX_PART_BYTES = 45_000;

    private static final int MAX_PARTS = 150;
    private static final int MAX_DECOMPRESSED_BYTES = 64 << 20;

    private final TableStore store;
    private final ObjectMapper mapper = ClusterTable.mapper();

    ConfigurationTable(TableStore store) {
        this.store = store;
    }

    /**
     * The current version as read from the table.
     *
     * @param version version of the configuration, 0 before the first change
     * @param hash hash of the compressed content
     * @param rowVersion version of the row {@code config/current}
     */
    record CurrentVersion(long version, String hash, long rowVersion) {}

    /**
     * Value of the row {@code config/current}.
     *
     * @param version version of the configuration
     * @param hash hash of the compressed content
     */
    record CurrentValue(long version, String hash) {}

    CurrentVersion readCurrentVersion() throws PlatformUnavailableException {
        Optional<Row> row = store.get(CURRENT_KEY);
        if (row.isEmpty()) {
            return new CurrentVersion(0, "", 0);
        }
        try {
            CurrentValue value = mapper.treeToValue(row.get().value(), CurrentValue.class);
            return new CurrentVersion(value.version(), value.hash(), row.get().version());
        } catch (JsonProcessingException e) {
            throw new PlatformUnavailableException("row %s cannot be read; correct it".formatted(CURRENT_KEY), e);
        }
    }

    /**
     * Returns the configuration of the version, empty if its content is incomplete, does not match the hash or cannot
     * be parsed.
     */
    Optional<Configuration> readContent(CurrentVersion current) throws PlatformUnavailableException {
        if (current.version() == 0) {
            return Optional.of(Configuration.initial());
        }
        List<Row> parts = store.scan(contentPrefix(current.version()), "", MAX_PARTS);
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (Row part : parts) {
            joined.writeBytes(Base64.getDecoder().decode(part.value().asText()));
        }
        byte[] compressed = joined.toByteArray();
        if (!hash(compressed).equals(current.hash())) {
            LOG.atWarning().log("content of configuration version %d is not complete", current.version());
            return Optional.empty();
        }
        try {
            return Optional.of(mapper.readValue(decompress(compressed), Configuration.class));
        } catch (IOException e) {
            LOG.atSevere().withCause(e).log("configuration version %d cannot be read", current.version());
            return Optional.empty();
        }
    }

    /** Stores {@code next} as the current version, provided that {@code current} still is the current version. */
    void replace(CurrentVersion current, Configuration next, String token)
            throws TransactionConflictException, PlatformUnavailableException, OutcomeUnknownException,
                    ConfigurationTooLargeException {
        byte[] compressed = compress(next);
        List<TableTransaction.Write> writes = new ArrayList<>();
        for (int start = 0; start < compressed.length; start += MAX_PART_BYTES) {
            byte[] part = Arrays.copyOfRange(compressed, start, Math.min(compressed.length, start + MAX_PART_BYTES));
            String key = "%s%04d".formatted(contentPrefix(next.version()), writes.size());
            writes.add(new TableTransaction.Write(
                    key, TextNode.valueOf(Base64.getEncoder().encodeToString(part))));
        }
        if (writes.size() > MAX_PARTS) {
            throw new ConfigurationTooLargeException(compressed.length, MAX_PARTS * MAX_PART_BYTES);
        }
        writes.add(new TableTransaction.Write(
                CURRENT_KEY, mapper.valueToTree(new CurrentValue(next.version(), hash(compressed)))));
        store.transact(new TableTransaction(
                token, List.of(new TableTransaction.Check(CURRENT_KEY, current.rowVersion())), writes));
    }

    boolean tookEffect(String token) throws PlatformUnavailableException {
        return store.wasApplied(token);
    }

    /** Deletes the content of the version that is {@link #RETAINED_VERSIONS} older than {@code version}. */
    void deleteExpiredContent(long version) {
        long expiredVersion = version - RETAINED_VERSIONS;
        if (expiredVersion <= 0) {
            return;
        }
        try {
            List<TableTransaction.Write> deletions = store.scan(contentPrefix(expiredVersion), "", MAX_PARTS).stream()
                    .map(row -> new TableTransaction.Write(row.key(), null))
                    .toList();
            if (!deletions.isEmpty()) {
                store.transact(new TableTransaction(ClusterTable.newTransactionToken(), List.of(), deletions));
            }
        } catch (PlatformException e) {
            LOG.atInfo().withCause(e).log(
                    "content of the expired configuration version %d could not be deleted", expiredVersion);
        }
    }

    private static String contentPrefix(long version) {
        return "%s%012d/".formatted(CONTENT_PREFIX, version);
    }

    private byte[] compress(Configuration configuration) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
            gzip.write(mapper.writeValueAsBytes(configuration));
        } catch (IOException e) {
            throw new UncheckedIOException("configuration cannot be serialised or compressed", e);
        }
        return compressed.toByteArray();
    }

    private static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            return gzip.readNBytes(MAX_DECOMPRESSED_BYTES);
        }
    }

    private static String hash(byte[] bytes) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance(HASH_ALGORITHM).digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime lacks " + HASH_ALGORITHM, e);
        }
    }
}
