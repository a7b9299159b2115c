package org.tamarackline.entry.proxy;

import java.util.List;
import java.util.Map;

import org.tamarackline.core.model.ShardId;
import org.tamarackline.platform.VmRecord;

/** Divides the runners of the VM list into runner groups, the same way on every node. */
@FunctionalInterface
public interface RunnerGroups {

    /** Returns the runners by group. A runner's group depends on its own record only, never on the rest of the list. */
    Map<ShardId, List<VmRecord>> groupsOf(List<VmRecord> vms);
}
