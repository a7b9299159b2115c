package org.tamarackline.process.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Tells which suspicions of a leader an injected fault explains. */
final class Suspicions {

    /** Time before a suspicion in which a fault may have caused it: two pings of 0.7 s at an interval of up to 1.5 s. */
    private static final Duration CAUSE_TIME = Duration.ofSeconds(5);

    /** Events of a leader that gives up its leadership. */
    private static final Set<String> LEADERSHIP_ENDS = Set.of("leader-yields", "leader-resigned", "leader-ended");

    private Suspicions() {}

    /** Describes the suspicions that no fault of the leader, of the suspecting node or of the store explains. */
    static List<String> unexplained(NodeLogs logs, List<Fault> faults, SoakClock clock) {
        List<String> found = new ArrayList<>();
        for (NodeLogs.Line line : logs.lines("leader-suspected")) {
            String leader = line.fields().path("leader").asText();
            boolean handedOver = handedOver(logs, line);
            if (!handedOver && !explained(line, leader, faults)) {
                found.add(String.format(
                        Locale.ROOT,
                        "%s: %s suspects %s, epoch %d: %s",
                        clock.format(line.nanos()),
                        line.node(),
                        leader,
                        line.fields().path("epoch").asLong(),
                        line.fields().path("reason").asText()));
            }
        }
        return found;
    }

    private static boolean explained(NodeLogs.Line line, String leader, List<Fault> faults) {
        long fromNanos = line.nanos() - CAUSE_TIME.toNanos();
        return faults.stream()
                .filter(fault -> fault.overlaps(fromNanos, line.nanos()))
                .map(Fault::target)
                .anyMatch(target -> target.equals(leader) || target.equals(line.node()) || target.equals(Fault.STORE));
    }

    /** Returns whether the leader of the suspicion had resigned or been replaced, so that it was right not to lead. */
    private static boolean handedOver(NodeLogs logs, NodeLogs.Line line) {
        long epoch = line.fields().path("epoch").asLong();
        return logs.between(line.nanos() - CAUSE_TIME.toNanos(), line.nanos()).stream()
                .filter(other -> other.fields().path("epoch").asLong() == epoch)
                .anyMatch(other -> LEADERSHIP_ENDS.contains(other.event()));
    }
}
