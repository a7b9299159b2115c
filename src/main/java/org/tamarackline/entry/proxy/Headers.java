package org.tamarackline.entry.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Static helpers for headers that a proxy passes on. */
public final class Headers {

    /** Time left for the answer, in milliseconds; read from callers and passed on to upstreams. */
    public static final String DEADLINE_MS = "Tamarackline-Deadline-Ms";

    /** Set by an upstream that takes no new work. */
    public static final String LEAVING = "Tamarackline-Leaving";

    /** Set on an answer that was recorded for an earlier request with the same key. */
    public static final String REPLAYED = "Tamarackline-Replayed";

    /** Names a non-idempotent request, so that a repeat does not run it again. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Headers that concern one connection only (RFC 9110, section 7.6.1). */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    /** Headers that the node sets itself: the length is known from the body, the credential is the node's own. */
    private static final Set<String> SET_BY_NODE =
            Set.of("content-length", "host", "expect", "authorization", "tamarackline-deadline-ms");

    private Headers() {}

    /** Returns the headers of a caller's request to send to the upstream. */
    public static List<HeaderField> forUpstream(List<HeaderField> fromCaller) {
        Set<String> dropped = new HashSet<>(connectionOptions(fromCaller));
        dropped.addAll(SET_BY_NODE);
        return without(fromCaller, dropped);
    }

    /** Returns the headers of an upstream's answer to send to the caller, the content length included. */
    public static List<HeaderField> forCaller(List<HeaderField> fromUpstream) {
        return without(fromUpstream, connectionOptions(fromUpstream));
    }

    private static List<HeaderField> without(List<HeaderField> fields, Set<String> dropped) {
        List<HeaderField> kept = new ArrayList<>(fields.size());
        for (HeaderField field : fields) {
            String name = lowerCase(field.name());
            if (!HOP_BY_HOP.contains(name) && !dropped.contains(name)) {
                kept.add(field);
            }
        }
        return kept;
    }

    /** Returns the names that the header {@code Connection} declares as concerning one connection. */
    private static Set<String> connectionOptions(List<HeaderField> fields) {
        Set<String> options = new HashSet<>();
        for (HeaderField field : fields) {
            if (field.name().equalsIgnoreCase("Connection")) {
                for (String option : field.value().split(",", -1)) {
                    options.add(lowerCase(option.strip()));
                }
            }
        }
        return options;
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
