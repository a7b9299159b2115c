package org.tamarackline.core.usage;

import java.util.List;

/** Where operators read the usage record of the whole installation. */
public interface UsageSource {

    /** Returns the usage; may wait for other nodes and the platform, each within a bound. */
    Report usage();

    /**
     * Usage of the installation.
     *
     * @param lines amounts in the order of their keys
     * @param complete whether all nodes and the platform could be asked
     */
    record Report(List<Line> lines, boolean complete) {

        /** Creates a report that later changes of the argument do not affect. */
        public Report {
            lines = List.copyOf(lines);
        }
    }

    /**
     * Amounts of one key.
     *
     * @param key what is counted
     * @param totals amounts
     */
    record Line(UsageKey key, UsageTotals totals) {}
}
