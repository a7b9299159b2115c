package org.tamarackline.entry;

import io.dropwizard.core.Configuration;

/** Dropwizard's configuration, built from the settings of the node instead of a YAML file. */
final class EntryConfiguration extends Configuration {

    EntryConfiguration(EntryServerFactory serverFactory) {
        setServerFactory(serverFactory);
    }
}
