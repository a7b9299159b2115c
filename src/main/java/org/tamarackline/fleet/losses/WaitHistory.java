package org.tamarackline.fleet.losses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Determines why a task that had not started was waiting at a given time, from changes of leader and store outages in
 * the logs.
 */
final class WaitHistory {

    private final List<LeaderTerm> terms = new ArrayList<>();
    private final Map<String, Long> lastLineMs = new HashMap<>();
    private final Map<String, Long> storeLostMs = new HashMap<>();
    private final Map<String, List<Span>> storeOutages = new HashMap<>();
    private final NavigableSet<Long> changeTimesMs = new TreeSet<>();

    /** Adds the next line. Lines are added in order of time. */
    void add(LogLine line) {
        switch (line.event()) {
            case "node-start" -> onNodeStart(line);
            case "leader-started" -> onLeaderStarted(line);
            case "leader-ready" -> onLeaderReady(line);
            case "leader-ended", "leader-resigned" -> onLeaderEnded(line);
            case "leader-state" -> onLeaderState(line);
            case "store-lost" -> storeLostMs.putIfAbsent(line.node(), line.timeMs());
            case "store-regained" -> endStoreOutage(line.node(), line.timeMs());
            default -> {}
        }
        lastLineMs.put(line.node(), line.timeMs());
    }

    /** Ends the outages that are open at the end of the logs. Called once after the last line. */
    void finish(long endMs) {
        for (String node : List.copyOf(storeLostMs.keySet())) {
            endStoreOutage(node, endMs);
        }
        for (LeaderTerm term : terms) {
            changeTimesMs.add(term.startedMs());
            changeTimesMs.add(term.readyMs());
            changeTimesMs.add(term.endedMs());
            changeTimesMs.add(term.lastHeldTasksMs());
        }
    }

    /**
     * Ends the terms of a node that restarts: a killed process logs no end of its term, so its last line counts as the
     * end.
     */
    private void onNodeStart(LogLine line) {
        Long lastMs = lastLineMs.get(line.node());
        if (lastMs == null) {
            return;
        }
        for (LeaderTerm term : terms) {
            if (term.node().equals(line.node())) {
                term.onEnded(lastMs);
            }
        }
        if (storeLostMs.containsKey(line.node())) {
            endStoreOutage(line.node(), lastMs);
        }
    }

    private void onLeaderStarted(LogLine line) {
        for (LeaderTerm earlier : terms) {
            earlier.onEnded(Math.min(line.timeMs(), lastLineMs.getOrDefault(earlier.node(), line.timeMs())));
        }
        terms.add(new LeaderTerm(line.node(), line.number("epoch"), line.timeMs()));
    }

    private void onLeaderReady(LogLine line) {
        LeaderTerm term = termOf(line);
        if (term != null) {
            term.onReady(line.timeMs());
        }
    }

    private void onLeaderEnded(LogLine line) {
        LeaderTerm term = termOf(line);
        if (term != null) {
            term.onEnded(line.timeMs());
        }
    }

    private void onLeaderState(LogLine line) {
        LeaderTerm term = termOf(line);
        if (term != null && line.number("heldTasks") > 0) {
            term.onHeldTasks(line.timeMs());
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

    private void endStoreOutage(String node, long timeMs) {
        Long lostMs = storeLostMs.remove(node);
        if (lostMs != null) {
            storeOutages.computeIfAbsent(node, name -> new ArrayList<>()).add(new Span(lostMs, timeMs));
            changeTimesMs.add(lostMs);
            changeTimesMs.add(timeMs);
        }
    }

    /** Attributes a span in which a task waited to categories. */
    void attribute(Span wait, long acceptedMs, TimeByCategory times) {
        long fromMs = wait.fromMs();
        while (fromMs < wait.toMs()) {
            Long changeMs = changeTimesMs.higher(fromMs);
            long toMs = changeMs == null ? wait.toMs() : Math.min(changeMs, wait.toMs());
            times.add(categoryAt(fromMs, acceptedMs), toMs - fromMs);
            fromMs = toMs;
        }
    }

    private TimeCategory categoryAt(long timeMs, long acceptedMs) {
        LeaderTerm leading = null;
        for (LeaderTerm term : terms) {
            if (term.leadsAt(timeMs)) {
                leading = term;
            }
        }
        if (leading == null) {
            return TimeCategory.NO_LEADER;
        }
        for (Span outage : storeOutages.getOrDefault(leading.node(), List.of())) {
            if (outage.contains(timeMs)) {
                return TimeCategory.STORE_UNAVAILABLE;
            }
        }
        return leading.holdsTasksAt(timeMs, acceptedMs) ? TimeCategory.UNREPORTED_RUNNERS : TimeCategory.CAPACITY;
    }
}
