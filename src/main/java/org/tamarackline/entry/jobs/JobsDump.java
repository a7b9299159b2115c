package org.tamarackline.entry.jobs;

import com.google.inject.Inject;
import org.tamarackline.entry.StateDump;

/** Adds the racks that this node owns to the state dump. */
final class JobsDump implements StateDump {

    private final RackManager racks;

    @Inject
    JobsDump(RackManager racks) {
        this.racks = racks;
    }

    @Override
    public String name() {
        return "racks";
    }

    @Override
    public Object snapshot() {
        return racks.dump();
    }
}
