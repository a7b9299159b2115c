package org.tamarackline.core.config;

/** The kind of work that a profile describes. */
public enum ServiceClass {
    /** Requests or tasks whose answer is worthless after the latency bound. */
    LATENCY_CRITICAL,
    /** Tasks that have to finish at a steady rate, and by a time if the profile names one. */
    BATCH,
    /** Tasks that never end by themselves. */
    CONTINUOUS
}
