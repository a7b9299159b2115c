package org.tamarackline.entry;

import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;

/** Bounds of the HTTP servers, which protect the memory of the node. */
final class HttpLimits {

    /** Longest body of a caller's request. */
    static final long MAX_CALLER_BODY_BYTES = 16L * 1_024 * 1_024;

    /** Longest body of an operator's request. */
    static final long MAX_OPERATOR_BODY_BYTES = 1_024L * 1_024;

    /** Longest head of a request. */
    static final DataSize MAX_HEADER_SIZE = DataSize.kibibytes(16);

    /** Time without a byte after which a connection is closed. */
    static final Duration IDLE_TIMEOUT = Duration.seconds(30);

    /** Platform threads that Jetty keeps for selecting and scheduling; requests run on virtual threads. */
    static final int MAX_THREADS = 64;

    /** Connections that wait to be accepted. */
    static final int ACCEPT_QUEUE_LENGTH = 1_024;

    private HttpLimits() {}
}
