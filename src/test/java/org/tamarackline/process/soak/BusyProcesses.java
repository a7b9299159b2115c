package org.tamarackline.process.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Processes that use a processor each, so that nodes wait for theirs. */
final class BusyProcesses {

    private final List<Process> processes = new ArrayList<>();

    void start(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            processes.add(new ProcessBuilder("sh", "-c", "while :; do :; done").start());
        }
    }

    void end() {
        processes.forEach(Process::destroyForcibly);
    }
}
