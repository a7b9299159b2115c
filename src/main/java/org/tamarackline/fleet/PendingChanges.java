package org.tamarackline.fleet;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.tamarackline.core.fleet.RunnerDescriptor;

/** Changes of a leader that wait for a transaction, apart from those that the jobs keep themselves. */
final class PendingChanges {

    final ProgressRecords progress = new ProgressRecords();
    final IsolatedChanges isolated;

    final Map<String, RunnerDescriptor> toAddToRoster = new HashMap<>();
    final Set<String> toCordon = new LinkedHashSet<>();
    final Set<String> toRemoveFromRoster = new LinkedHashSet<>();
    final Set<String> finishedJobsToRemove = new LinkedHashSet<>();
    final ForwardedSubmissions submissions;

    /** When the interference estimates were last put into a transaction. */
    long estimatesStoredNanos;

    PendingChanges(LeaderContext context) {
        this.submissions = new ForwardedSubmissions(context.loop());
        this.isolated = new IsolatedChanges(context.loop(), context.log(), context.metrics());
    }
}
