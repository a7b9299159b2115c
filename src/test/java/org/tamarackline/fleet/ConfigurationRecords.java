package org.tamarackline.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.tamarackline.core.fleet.FleetConfiguration;

/** Records of configurations that consist of a version only. */
final class ConfigurationRecords {

    private static final String KEY = "config";

    private ConfigurationRecords() {}

    /** Returns the transaction that stores a version. */
    static RecordStore.Transaction storing(long version) {
        byte[] value = Long.toString(version).getBytes(StandardCharsets.US_ASCII);
        return new RecordStore.Transaction(
                List.of(), List.of(new RecordStore.Write(RecordStore.Table.CONFIGURATION, KEY, value)));
    }

    /** Decodes a record; a {@link ConfigurationSource}. */
    static Optional<FleetConfiguration> decode(RecordStore.Entry entry) {
        long version = Long.parseLong(new String(entry.value(), StandardCharsets.US_ASCII));
        return Optional.of(new FleetConfiguration(version, List.of()));
    }
}
