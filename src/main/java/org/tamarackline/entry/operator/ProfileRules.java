package org.tamarackline.entry.operator;

import java.util.ArrayList;
import java.util.List;

import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.ServiceClass;

/** Static helpers that check profiles. */
final class ProfileRules {

    private static final int MAX_PRIORITY = 1_000;
    private static final int MAX_SHARE = 1_000;
    private static final int MAX_WEIGHT = 100;
    private static final long MAX_LATENCY_BOUND_MS = 600_000;
    private static final long MAX_RATE_PER_HOUR = 1_000_000;
    private static final long MAX_FINISH_WITHIN_MS = 30L * 24 * 3_600_000;

    private ProfileRules() {}

    /** Refuses a profile with values out of range and names all of them. */
    static void check(Profile profile) throws OperatorException {
        List<String> mistakes = new ArrayList<>();
        if (profile.serviceClass() == null) {
            mistakes.add("serviceClass must be LATENCY_CRITICAL, BATCH or CONTINUOUS");
        }
        range(mistakes, "latencyBoundMs", profile.latencyBoundMs(), 0, MAX_LATENCY_BOUND_MS);
        range(mistakes, "priority", profile.priority(), 0, MAX_PRIORITY);
        range(mistakes, "share", profile.share(), 1, MAX_SHARE);
        range(mistakes, "ratePerHour", profile.ratePerHour(), 0, MAX_RATE_PER_HOUR);
        range(mistakes, "finishWithinMs", profile.finishWithinMs(), 0, MAX_FINISH_WITHIN_MS);
        range(mistakes, "tailWeight", profile.tailWeight(), 0, MAX_WEIGHT);
        range(mistakes, "throughputWeight", profile.throughputWeight(), 0, MAX_WEIGHT);
        range(mistakes, "evictionWeight", profile.evictionWeight(), 0, MAX_WEIGHT);
        if (profile.serviceClass() == ServiceClass.LATENCY_CRITICAL && profile.latencyBoundMs() == 0) {
            mistakes.add("latencyBoundMs must be greater than 0 for LATENCY_CRITICAL");
        }
        if (!mistakes.isEmpty()) {
            throw new OperatorException(OperatorErrorCode.INVALID, String.join("; ", mistakes));
        }
    }

    private static void range(List<String> mistakes, String name, long value, long least, long most) {
        if (value < least || value > most) {
            mistakes.add("%s must be from %d to %d, not %d".formatted(name, least, most, value));
        }
    }
}
