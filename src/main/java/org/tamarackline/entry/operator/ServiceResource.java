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
import org.tamarackline.core.config.ServiceDefinition;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.ServiceName;
import org.tamarackline.core.model.TeamName;

/** Lists, adds, replaces and retires services, each with its profile and its team. */
@Singleton
@Path("/services")
@Produces(MediaType.APPLICATION_JSON)
public final class ServiceResource {

    private final ConfigurationEditor editor;

    @Inject
    ServiceResource(ConfigurationEditor editor) {
        this.editor = editor;
    }

    /**
     * Services in force.
     *
     * @param version version of the configuration, which a change has to state
     * @param services services in force
     */
    public record Services(long version, List<ServiceDefinition> services) {}

    /**
     * The definition of the service that the path names.
     *
     * @param profile name of the profile of the service
     * @param team name of the team whose usage includes the requests
     */
    public record ServiceBody(String profile, String team) {}

    /** Returns the services in force. */
    @GET
    public Services list() throws OperatorException {
        Configuration configuration = editor.current();
        return new Services(configuration.version(), configuration.services());
    }

    /** Adds a service or replaces its definition. */
    @PUT
    @Path("{name}")
    @Consumes(MediaType.APPLICATION_JSON)
    public ConfigurationUpdater.AcceptedChange put(
            @PathParam("name") String name, @QueryParam("version") Optional<Long> version, ServiceBody body)
            throws OperatorException {
        ServiceBody definition = RequestBodies.require(body);
        ServiceDefinition service = new ServiceDefinition(
                IdentifierParser.parse(ServiceName::new, name),
                IdentifierParser.parse(ProfileName::new, definition.profile()),
                IdentifierParser.parse(TeamName::new, definition.team()));
        return editor.edit(version, base -> ConfigurationEdits.putService(base, service));
    }

    /** Retires a service. */
    @DELETE
    @Path("{name}")
    public ConfigurationUpdater.AcceptedChange retire(
            @PathParam("name") String name, @QueryParam("version") Optional<Long> version) throws OperatorException {
        ServiceName service = IdentifierParser.parse(ServiceName::new, name);
        return editor.edit(version, base -> ConfigurationEdits.retireService(base, service));
    }
}
