package org.tamarackline.entry.cluster;

/** Thrown if a configuration does not fit into the rows of one transaction. */
final class ConfigurationTooLargeException extends Exception {

    private static final long serialVersionUID = 1L;

    ConfigurationTooLargeException(long bytes, long limitBytes) {
        super("compressed configuration has %d bytes, the limit is %d; remove unused profiles, teams or services"
                .formatted(bytes, limitBytes));
    }
}
