package org.tamarackline.fleet;

import java.util.Optional;

import org.tamarackline.core.fleet.FleetConfiguration;

/** Decodes the configuration that operators write into the store. */
public interface ConfigurationSource {

    /** Returns the configuration in a record; empty if the record is of another kind or cannot be read. */
    Optional<FleetConfiguration> decode(RecordStore.Entry entry);
}
