package org.tamarackline.core.fleet;

/** Directory entries of runners that restart. */
public final class RunnerEntries {

    private RunnerEntries() {}

    /** Returns the same entry of another process, or, for 0, one that does not tell of which process it is. */
    public static RunnerDescriptor ofProcess(RunnerDescriptor entry, long processStartEpochMs) {
        return new RunnerDescriptor(
                entry.id(),
                processStartEpochMs,
                entry.service(),
                entry.address(),
                entry.dataCentre(),
                entry.rack(),
                entry.draining(),
                entry.capacity(),
                entry.labels());
    }
}
