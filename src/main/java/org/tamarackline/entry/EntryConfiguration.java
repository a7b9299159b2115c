package org.tamarackline.entry;

import io.dropwizard.core.Configuration;

/** What Dropwizard is started with; built from the settings of the node, not from a YAML file. */
final class EntryConfiguration extends Configuration {

    EntryConfiguration(EntryServerFactory serverFactory) {
        setServerFactory(serverFactory);
    }
}
