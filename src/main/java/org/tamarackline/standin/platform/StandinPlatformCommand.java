package org.tamarackline.standin.platform;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

import org.kohsuke.args4j.Option;
import org.tamarackline.standin.StandinCommand;
import org.tamarackline.standin.StandinJson;
import org.tamarackline.store.VmEntry;

/** Command-line command that runs the platform stand-in. */
public final class StandinPlatformCommand extends StandinCommand {

    @Option(name = "--vms", metaVar = "FILE", usage = "JSON file with the list of VMs")
    private Path vmFile;

    @Override
    protected String start(InetSocketAddress listenAddress) throws Exception {
        List<VmEntry> vms =
                vmFile == null ? List.of() : List.of(StandinJson.mapper().readValue(vmFile.toFile(), VmEntry[].class));
        return StandinPlatform.start(listenAddress, vms).address();
    }
}
