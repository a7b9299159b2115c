package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Tells why a task that had not started waited at a time, from the changes of leader and the outages of the store. */
final class WaitHistory {

    private final List<LeaderTerm> terms = new ArrayList<>();
    private final Map<String, Long> lastLineMs = new HashMap<>();
    private final Map<String, Long> storeLostMs = new HashMap<>();
    private final Map<String, List<Span>> storeOutages = new HashMap<>();
    private final NavigableSet<Long> changes = new TreeSet<>();

    /** Takes the next line in order of time. */
    void add(LogLine line) {
        switch (line.event()) {
            case "node-start" -> restarted(line);
            case "leader-started" -> started(line);
            case "leader-ready" -> ready(line);
            case "leader-ended", "leader-resigned" -> ended(line);
            case "leader-state" -> state(line);
            case "store-lost" -> storeLostMs.putIfAbsent(line.node(), line.timeMs());
            case "store-regained" -> storeRegained(line.node(), line.timeMs());
            default -> {}
        }
        lastLineMs.put(line.node(), line.timeMs());
    }

    /** Ends what is open at the end of the logs. */
    void close(long endMs) {
        for (String node : List.copyOf(storeLostMs.keySet())) {
            storeRegained(node, endMs);
        }
        for (LeaderTerm term : terms) {
            changes.add(term.startedMs());
            changes.add(term.readyMs());
            changes.add(term.endedMs());
            changes.add(term.heldUntilMs());
        }
    }

    /** A process that was killed logs no end of its leadership; its last line counts as the end. */
    private void restarted(LogLine line) {
        Long lastMs = lastLineMs.get(line.node());
        if (lastMs == null) {
            return;
        }
        for (LeaderTerm term : terms) {
            if (term.node().equals(line.node())) {
                term.ended(lastMs);
            }
        }
        if (storeLostMs.containsKey(line.node())) {
            storeRegained(line.node(), lastMs);
        }
    }

    private void started(LogLine line) {
        for (LeaderTerm earlier : terms) {
            earlier.ended(Math.min(line.timeMs(), lastLineMs.getOrDefault(earlier.node(), line.timeMs())));
        }
        terms.add(new LeaderTerm(line.node(), line.number("epoch"), line.timeMs()));
    }

    private void ready(LogLine line) {
        LeaderTerm term = termOf(line);
        if (term != null) {
            term.ready(line.timeMs());
        }
    }

    private void ended(LogLine line) {
        LeaderTerm term = termOf(line);
        if (term != null) {
            term.ended(line.timeMs());
        }
    }

    private void state(LogLine line) {
        LeaderTerm term = termOf(line);
        if (term != null && line.number("heldTasks") > 0) {
            term.heldTasks(line.timeMs());
        }
    }

    private LeaderTerm termOf(LogLine line) {
        for (LeaderTerm term : terms) {
            if (term.epoch() == line.number("epoch") && term.node().equals(line.node())) {
                return term;
            }
        }
        return null;
    }

    private void storeRegained(String node, long timeMs) {
        Long lostMs = storeLostMs.remove(node);
        if (lostMs != null) {
            storeOutages.computeIfAbsent(node, name -> new ArrayList<>()).add(new Span(lostMs, timeMs));
            changes.add(lostMs);
            changes.add(timeMs);
        }
    }

    /** Adds a span in which a task waited to the causes of the wait. */
    void attribute(Span wait, long acceptedMs, LossSums sums) {
        long fromMs = wait.fromMs();
        while (fromMs < wait.toMs()) {
            Long changeMs = changes.higher(fromMs);
            long toMs = changeMs == null ? wait.toMs() : Math.min(changeMs, wait.toMs());
            sums.add(causeAt(fromMs, acceptedMs), toMs - fromMs);
            fromMs = toMs;
        }
    }

    private LossCause causeAt(long timeMs, long acceptedMs) {
        LeaderTerm leading = null;
        for (LeaderTerm term : terms) {
            if (term.leads(timeMs)) {
                leading = term;
            }
        }
        if (leading == null) {
            return LossCause.NO_LEADER;
        }
        for (Span outage : storeOutages.getOrDefault(leading.node(), List.of())) {
            if (outage.contains(timeMs)) {
                return LossCause.STORE;
            }
        }
        return leading.holds(timeMs, acceptedMs) ? LossCause.UNHEARD_RUNNERS : LossCause.ROOM;
    }
}
