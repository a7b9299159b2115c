package org.tamarackline.core.usage;

import java.util.List;

/** Provides the usage of the whole installation for operators. */
public interface UsageSource {

    /** Returns the usage. May block while it requests the usage of other nodes and the platform, each with a timeout. */
    Report usage();

    /**
     * Usage of the installation.
     *
     * @param lines totals in the order of their keys
     * @param complete whether all nodes and the platform responded
     */
    record Report(List<Line> lines, boolean complete) {

        /** Creates a report that later changes of the argument do not affect. */
        public Report {
            lines = List.copyOf(lines);
        }
    }

    /**
     * Totals of one key.
     *
     * @param key key of the totals
     * @param totals usage under the key
     */
    record Line(UsageKey key, UsageTotals totals) {}
}
