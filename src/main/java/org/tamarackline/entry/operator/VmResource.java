package org.tamarackline.entry.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.Identifiers;
import org.tamarackline.core.model.VmRecord;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.VmDirectory;

/** Lists the VMs and takes them in and out of service. */
@Singleton
@Path("/vms")
@Produces(MediaType.APPLICATION_JSON)
public final class VmResource {

    private final ConfigurationEditor editor;
    private final VmDirectory directory;

    @Inject
    VmResource(ConfigurationEditor editor, VmDirectory directory) {
        this.editor = editor;
        this.directory = directory;
    }

    /**
     * All VMs in the platform's list or taken out of service by operators.
     *
     * @param version version of the configuration, which a change has to state
     * @param vms VMs in the order of their identifiers
     */
    public record Vms(long version, List<Vm> vms) {}

    /**
     * One VM.
     *
     * @param id identifier of the VM
     * @param role {@code worker}, or the name of the service whose runner it is; empty if the platform does not list it
     * @param dataCentre data centre; empty if the platform does not list it
     * @param rack rack; empty if the platform does not list it
     * @param state state in the platform's list; empty if it does not list the VM
     * @param inService false if operators took the VM out of service
     */
    public record Vm(String id, String role, String dataCentre, String rack, String state, boolean inService) {}

    /**
     * One VM with the version of the configuration.
     *
     * @param version version of the configuration, which a change has to state
     * @param vm the VM
     */
    public record VersionedVm(long version, Vm vm) {}

    /**
     * A change of a VM.
     *
     * @param inService whether the VM gets work
     * @param version version of the configuration that the change is based on
     */
    public record VmBody(Optional<Boolean> inService, Optional<Long> version) {}

    /** Returns the VMs. */
    @GET
    public Vms list() throws OperatorException {
        Configuration configuration = editor.current();
        return new Vms(configuration.version(), vms(configuration));
    }

    /** Returns one VM. */
    @GET
    @Path("{id}")
    public VersionedVm get(@PathParam("id") String id) throws OperatorException {
        Configuration configuration = editor.current();
        return vms(configuration).stream()
                .filter(vm -> vm.id().equals(id))
                .findFirst()
                .map(vm -> new VersionedVm(configuration.version(), vm))
                .orElseThrow(() -> notFound(id));
    }

    /** Takes a VM in or out of service. */
    @PUT
    @Path("{id}")
    @Consumes(MediaType.APPLICATION_JSON)
    public ConfigurationUpdater.AcceptedChange put(@PathParam("id") String id, VmBody body) throws OperatorException {
        VmBody change = RequestBodies.require(body);
        boolean inService = change.inService()
                .orElseThrow(() -> new OperatorException(OperatorErrorCode.INVALID, "inService must be true or false"));
        if (!inService) {
            refuseIfNotListed(id);
        }
        return editor.edit(change.version(), base -> ConfigurationEdits.setVmInService(base, id, inService));
    }

    /** Requires the VM to be in the platform's list, because a misspelt identifier would be accepted without any effect. */
    private void refuseIfNotListed(String id) throws OperatorException {
        boolean listed = Identifiers.isValid(id)
                && records().stream().anyMatch(vm -> vm.id().equals(id));
        if (!listed) {
            throw notFound(id);
        }
    }

    private List<Vm> vms(Configuration configuration) throws OperatorException {
        Set<String> outOfService = configuration.vmsOutOfService();
        List<VmRecord> records = records();
        List<Vm> vms = new ArrayList<>();
        for (VmRecord vm : records) {
            boolean inService = !outOfService.contains(vm.id());
            vms.add(new Vm(
                    vm.id(),
                    vm.role(),
                    vm.dataCentre().value(),
                    vm.rack(),
                    vm.state().name(),
                    inService));
        }
        Set<String> listedIds = Set.copyOf(records.stream().map(VmRecord::id).toList());
        outOfService.stream()
                .filter(id -> !listedIds.contains(id))
                .forEach(id -> vms.add(new Vm(id, "", "", "", "", false)));
        vms.sort(Comparator.comparing(Vm::id));
        return vms;
    }

    private List<VmRecord> records() throws OperatorException {
        try {
            return directory.list();
        } catch (PlatformUnavailableException e) {
            throw new OperatorException(
                    OperatorErrorCode.PLATFORM_UNAVAILABLE,
                    "the platform's list of VMs cannot be read; repeat the request later");
        }
    }

    private static OperatorException notFound(String id) {
        return new OperatorException(
                OperatorErrorCode.NOT_FOUND, "there is no VM \"%s\" in the platform's list".formatted(id));
    }
}
