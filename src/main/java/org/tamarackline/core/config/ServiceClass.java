package org.tamarackline.core.config;

/** The kind of work that a profile describes. */
public enum ServiceClass {
    /** Requests or tasks whose response has no value after the latency bound. */
    LATENCY_CRITICAL,
    /** Tasks that end by themselves, with a rate or a completion time if the profile sets one. */
    BATCH,
    /** Tasks that run until their job is cancelled. */
    CONTINUOUS
}
