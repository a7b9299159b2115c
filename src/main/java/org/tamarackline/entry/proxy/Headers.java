package org.tamarackline.entry.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Names of the headers that the proxy uses, and filters for the headers that it forwards. */
public final class Headers {

    /** Remaining time for the response, in milliseconds; read from callers and sent to upstreams. */
    public static final String DEADLINE_MS = "Tamarackline-Deadline-Ms";

    /** Set by an upstream that accepts no new requests. */
    public static final String LEAVING = "Tamarackline-Leaving";

    /** Set on a response that was recorded for an earlier request with the same idempotency key. */
    public static final String REPLAYED = "Tamarackline-Replayed";

    /** Identifies a non-idempotent request, so that a repeat of it is not executed again. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1). */
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

    /**
     * Headers that are not forwarded to the upstream: the length follows from the body, the token is
     * for this node only, and the node sets the others itself.
     */
    private static final Set<String> SET_BY_NODE =
            Set.of("content-length", "host", "expect", "authorization", "tamarackline-deadline-ms");

    private Headers() {}

    /** Returns the headers of a caller's request that are forwarded to the upstream. */
    public static List<HeaderField> forUpstream(List<HeaderField> fromCaller) {
        Set<String> dropped = new HashSet<>(connectionOptions(fromCaller));
        dropped.addAll(SET_BY_NODE);
        return without(fromCaller, dropped);
    }

    /** Returns the headers of an upstream's response that are forwarded to the caller, including the content length. */
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

    /** Returns the names of the headers that the {@code Connection} header declares as hop-by-hop. */
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
