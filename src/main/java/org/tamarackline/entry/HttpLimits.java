package org.tamarackline.entry;

import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;

/** Limits of the callers' and operators' connectors, which bound the memory that requests can use. */
final class HttpLimits {

    /** Largest body of a caller's request. */
    static final long MAX_CALLER_BODY_BYTES = 16L * 1_024 * 1_024;

    /** Largest body of an operator's request. */
    static final long MAX_OPERATOR_BODY_BYTES = 1_024L * 1_024;

    /** Largest size of the request line and headers together. */
    static final DataSize MAX_HEADER_SIZE = DataSize.kibibytes(16);

    /** Time without any byte sent or received after which a connection is closed. */
    static final Duration IDLE_TIMEOUT = Duration.seconds(30);

    /** Largest number of platform threads, which Jetty uses for selecting and scheduling; requests run on virtual threads. */
    static final int MAX_THREADS = 64;

    /** Largest number of connections that wait to be accepted. */
    static final int ACCEPT_QUEUE_LENGTH = 1_024;

    private HttpLimits() {}
}
