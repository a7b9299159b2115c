package org.tamarackline.entry.cluster;

/** A configuration does not fit into the rows of one transaction. */
final class ConfigurationTooLargeException extends Exception {

    private static final long serialVersionUID = 1L;

    ConfigurationTooLargeException(long bytes, long limitBytes) {
        super("configuration has %d bytes compressed, the limit is %d; remove unused profiles, teams or services"
                .formatted(bytes, limitBytes));
    }
}
