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
import org.tamarackline.core.config.Profile;
import org.tamarackline.core.config.ServiceClass;
import org.tamarackline.core.model.ProfileName;

/** Lists, adds, replaces and retires profiles. */
@Singleton
@Path("/profiles")
@Produces(MediaType.APPLICATION_JSON)
public final class ProfileResource {

    private final ConfigurationEditor editor;

    @Inject
    ProfileResource(ConfigurationEditor editor) {
        this.editor = editor;
    }

    /**
     * Profiles in force.
     *
     * @param version version of the configuration, which a change has to state
     * @param profiles profiles in force
     */
    public record Profiles(long version, List<Profile> profiles) {}

    /**
     * A profile without its name, which is in the path.
     *
     * @param serviceClass kind of work that the profile is for
     * @param latencyBoundMs bound on the time to a response or to the start of a task, in milliseconds; 0 for no bound
     * @param priority priority from 0 to 1000; larger values are served first
     * @param share relative share of capacity under contention, 1 to 1000
     * @param checkpointAllowed whether a task may be checkpointed and evicted
     * @param idempotent whether requests may be sent again after a failure
     * @param ratePerHour number of tasks to finish per hour; 0 for no rate
     * @param finishWithinMs time from submission within which a task has to finish, in milliseconds; 0 for no limit
     * @param tailWeight weight of tail latency in placement, 0 to 100
     * @param throughputWeight weight of batch throughput in placement, 0 to 100
     * @param evictionWeight weight of avoided evictions in placement, 0 to 100
     */
    public record ProfileBody(
            ServiceClass serviceClass,
            long latencyBoundMs,
            int priority,
            int share,
            boolean checkpointAllowed,
            boolean idempotent,
            long ratePerHour,
            long finishWithinMs,
            int tailWeight,
            int throughputWeight,
            int evictionWeight) {

        private Profile named(ProfileName name) {
            return new Profile(
                    name,
                    serviceClass,
                    latencyBoundMs,
                    priority,
                    share,
                    checkpointAllowed,
                    idempotent,
                    ratePerHour,
                    finishWithinMs,
                    tailWeight,
                    throughputWeight,
                    evictionWeight);
        }
    }

    /** Returns the profiles in force. */
    @GET
    public Profiles list() throws OperatorException {
        Configuration configuration = editor.current();
        return new Profiles(configuration.version(), configuration.profiles());
    }

    /** Adds a profile or replaces the one of this name. */
    @PUT
    @Path("{name}")
    @Consumes(MediaType.APPLICATION_JSON)
    public ConfigurationUpdater.AcceptedChange put(
            @PathParam("name") String name, @QueryParam("version") Optional<Long> version, ProfileBody body)
            throws OperatorException {
        Profile profile = RequestBodies.require(body).named(IdentifierParser.parse(ProfileName::new, name));
        return editor.edit(version, base -> ConfigurationEdits.putProfile(base, profile));
    }

    /** Retires a profile that no service uses. */
    @DELETE
    @Path("{name}")
    public ConfigurationUpdater.AcceptedChange retire(
            @PathParam("name") String name, @QueryParam("version") Optional<Long> version) throws OperatorException {
        ProfileName profile = IdentifierParser.parse(ProfileName::new, name);
        return editor.edit(version, base -> ConfigurationEdits.retireProfile(base, profile));
    }
}
