package org.tamarackline.fleet;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Paths of the requests between nodes; all but the last two are followed by a name or an epoch. */
final class PeerPaths {

    /** Followed by the node's name and its capacity; nodes of earlier versions send no capacity. */
    static final String PING = "/ping/";

    /** Numbers of at most 18 digits fit into 64 bits. */
    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    /** Numbers of at most 9 digits fit into 32 bits. */
    private static final Pattern PING_PATH = Pattern.compile(PING + "([^/]+)(?:/(\\d{1,9})/(\\d{1,9})/(\\d{1,9}))?");

    static final String STEP_DOWN = "/step-down/";
    static final String JOBS = "/jobs/";
    static final String SUBMISSIONS = "/submissions/";
    static final String QUEUES = "/queues/";
    static final String STATE = "/state";
    static final String METRICS = "/metrics";

    /** Header of a ping with the epoch that answered the previous one; a path with it would be refused by earlier versions. */
    static final String ANSWERED_EPOCH = "Answered-Epoch";

    /**
     * Header of a ping with the time for which the store has answered no transaction of the pinging node, in milliseconds. A
     * node that sends it is told the same of the other one; earlier versions could not read that.
     */
    static final String UNANSWERED_WRITES_MS = "Unanswered-Writes-Ms";

    /** Header of a ping of a node whose {@link WriteProbe} the store has answered lately, with any value. */
    static final String PROBE_ANSWERED = "Write-Probe-Answered";

    /** Last part of the response to a ping of a node that the leader would hand over to. */
    static final String WOULD_HAND_OVER = " probe";

    /** Response of a node that has stepped down. */
    static final String STEPPED_DOWN = "stepped down";

    private PeerPaths() {}

    /** Returns the path of a ping. */
    static String ping(PeerCalls.PingRequest request) {
        NodeCapacity capacity = request.capacity();
        return "%s%s/%d/%d/%d"
                .formatted(
                        PING,
                        URLEncoder.encode(request.node(), StandardCharsets.UTF_8),
                        capacity.cpuMillis(),
                        capacity.memoryMb(),
                        capacity.maxOpenFiles());
    }

    /** Returns the epoch of the header of a ping, 0 if it is absent or malformed. */
    static long parseAnsweredEpoch(String header) {
        return parseNumber(header).orElse(0);
    }

    /**
     * Returns what the headers of a ping tell about the transactions of its sender.
     *
     * @param unansweredMs header {@link #UNANSWERED_WRITES_MS}; the result is empty if it is absent or malformed
     * @param probeAnswered header {@link #PROBE_ANSWERED}, null if it is absent
     */
    static Optional<PeerCalls.WriteStatus> parseWriteStatus(String unansweredMs, String probeAnswered) {
        OptionalLong timeMs = parseNumber(unansweredMs);
        return timeMs.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerCalls.WriteStatus(timeMs.getAsLong(), probeAnswered != null));
    }

    private static OptionalLong parseNumber(String header) {
        return header != null && NUMBER.matcher(header).matches()
                ? OptionalLong.of(Long.parseLong(header))
                : OptionalLong.empty();
    }

    /** Returns the ping of a path, without its header; empty if the path is malformed. */
    static Optional<PeerCalls.PingRequest> parsePing(String path) {
        Matcher matcher = PING_PATH.matcher(path);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String node;
        try {
            node = URLDecoder.decode(matcher.group(1), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
        NodeCapacity capacity = matcher.group(2) == null
                ? NodeCapacity.UNKNOWN
                : new NodeCapacity(
                        Integer.parseInt(matcher.group(2)),
                        Integer.parseInt(matcher.group(3)),
                        Integer.parseInt(matcher.group(4)));
        return Optional.of(new PeerCalls.PingRequest(node, capacity));
    }
}
