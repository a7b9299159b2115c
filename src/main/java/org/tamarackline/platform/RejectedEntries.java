package org.tamarackline.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.tamarackline.fleet.DecisionLog;

/** Logs the rejected entries of the runners' directory: each once, until its reason changes or it is accepted. */
final class RejectedEntries {

    /** More rejected entries than this at the same time are not logged, so that the memory stays bounded. */
    private static final int MAX_REMEMBERED = 256;

    /** Bounds the log if another writer changes many entries between two readings. */
    private static final int MAX_LINES_PER_READING = 10;

    private final DecisionLog log;
    private final Map<String, String> loggedReasons = new HashMap<>();

    RejectedEntries(DecisionLog log) {
        this.log = log;
    }

    /** Applies a complete reading of the directory: the rejected keys and the reason of each. */
    void onReading(Map<String, String> reasons) {
        Set<String> rejected = reasons.keySet();
        loggedReasons.keySet().retainAll(rejected);
        int lines = 0;
        for (Map.Entry<String, String> entry : reasons.entrySet()) {
            boolean known = loggedReasons.containsKey(entry.getKey());
            boolean room = known || loggedReasons.size() < MAX_REMEMBERED;
            boolean changed = !entry.getValue().equals(loggedReasons.get(entry.getKey()));
            if (changed && room && lines < MAX_LINES_PER_READING) {
                lines++;
                loggedReasons.put(entry.getKey(), entry.getValue());
                log.rejectedRunnerEntry(entry.getKey(), entry.getValue());
            }
        }
    }
}
