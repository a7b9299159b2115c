package org.tamarackline.process.soak;

import java.util.ArrayList;
import java.util.List;

/** Record of the injected faults, in the order of their beginnings. */
final class FaultLog {

    private final List<Fault> faults = new ArrayList<>();

    /** Records a fault that lasts, and returns the number to end it with. */
    synchronized int begin(String target, String kind) {
        faults.add(new Fault(target, kind, System.nanoTime(), Long.MAX_VALUE));
        return faults.size() - 1;
    }

    synchronized void end(int number) {
        Fault fault = faults.get(number);
        faults.set(number, new Fault(fault.target(), fault.kind(), fault.beginNanos(), System.nanoTime()));
    }

    /** Records a fault of a moment. */
    void moment(String target, String kind) {
        end(begin(target, kind));
    }

    synchronized List<Fault> all() {
        return List.copyOf(faults);
    }
}
