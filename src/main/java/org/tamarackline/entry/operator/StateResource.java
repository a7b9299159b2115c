package org.tamarackline.entry.operator;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import org.tamarackline.entry.StateDump;

/** The state of the process, for finding faults; holds no secrets. */
@Singleton
@Path("/state")
@Produces(MediaType.APPLICATION_JSON)
public final class StateResource {

    private final Set<StateDump> parts;

    /** Creates the resource. */
    @Inject
    public StateResource(Set<StateDump> parts) {
        this.parts = Set.copyOf(parts);
    }

    /** Returns the snapshot of each part by its name. */
    @GET
    public Map<String, Object> dump() {
        Map<String, Object> snapshots = new TreeMap<>();
        parts.forEach(part -> snapshots.put(part.name(), part.snapshot()));
        return snapshots;
    }
}
