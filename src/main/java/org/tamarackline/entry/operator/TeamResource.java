package org.tamarackline.entry.operator;

import java.util.List;
import java.util.Optional;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.config.TeamQuota;
import org.tamarackline.core.model.Resources;
import org.tamarackline.core.model.TeamName;

/** Lists, adds, replaces and retires teams and the resources that each team is guaranteed under contention. */
@Singleton
@Path("/teams")
@Produces(MediaType.APPLICATION_JSON)
public final class TeamResource {

    private final ConfigurationEditor editor;

    @Inject
    TeamResource(ConfigurationEditor editor) {
        this.editor = editor;
    }

    /**
     * Teams in force.
     *
     * @param version version of the configuration, which a change has to state
     * @param teams quota of each team
     */
    public record Teams(long version, List<TeamQuota> teams) {}

    /**
     * The quota of the team that the path names.
     *
     * @param guaranteed resources that the team gets before other teams may use them
     */
    public record TeamBody(Resources guaranteed) {}

    /** Returns the teams in force. */
    @GET
    public Teams list() throws OperatorException {
        Configuration configuration = editor.current();
        return new Teams(configuration.version(), configuration.teams());
    }

    /** Adds a team or replaces its quota. */
    @PUT
    @Path("{name}")
    @Consumes(MediaType.APPLICATION_JSON)
    public ConfigurationUpdater.AcceptedChange put(
            @PathParam("name") String name, @QueryParam("version") Optional<Long> version, TeamBody body)
            throws OperatorException {
        Resources guaranteed = RequestBodies.require(body).guaranteed();
        TeamQuota quota = new TeamQuota(IdentifierParser.parse(TeamName::new, name), guaranteed);
        return editor.edit(version, base -> ConfigurationEdits.putTeam(base, quota));
    }

    /** Retires a team that no service belongs to. */
    @DELETE
    @Path("{name}")
    public ConfigurationUpdater.AcceptedChange retire(
            @PathParam("name") String name, @QueryParam("version") Optional<Long> version) throws OperatorException {
        TeamName team = IdentifierParser.parse(TeamName::new, name);
        return editor.edit(version, base -> ConfigurationEdits.retireTeam(base, team));
    }
}
