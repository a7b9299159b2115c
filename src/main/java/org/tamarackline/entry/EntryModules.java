package org.tamarackline.entry;

import java.util.List;

import com.google.inject.Module;
import org.tamarackline.entry.cluster.ClusterModule;
import org.tamarackline.entry.jobs.JobsModule;
import org.tamarackline.entry.operator.MonitoringModule;
import org.tamarackline.entry.operator.OperatorModule;
import org.tamarackline.entry.proxy.ProxyModule;

/** The Guice modules of an entry node, in the order in which their managed objects start. */
public final class EntryModules {

    private EntryModules() {}

    /** Returns the modules of a node. */
    public static List<Module> standard() {
        return List.of(
                new PlatformModule(),
                new ClusterModule(),
                new ProxyModule(),
                new JobsModule(),
                new ClusterLifecycleModule(),
                new MonitoringModule(),
                new OperatorModule());
    }
}
