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

/** Serves the state of this node for troubleshooting, as one section per {@link StateDump}; it contains no secrets. */
@Singleton
@Path("/state")
@Produces(MediaType.APPLICATION_JSON)
public final class StateResource {

    private final Set<StateDump> sections;

    @Inject
    public StateResource(Set<StateDump> sections) {
        this.sections = Set.copyOf(sections);
    }

    /** Returns the snapshots of all sections by name. */
    @GET
    public Map<String, Object> dump() {
        Map<String, Object> snapshots = new TreeMap<>();
        sections.forEach(section -> snapshots.put(section.name(), section.snapshot()));
        return snapshots;
    }
}
