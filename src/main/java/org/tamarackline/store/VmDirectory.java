package org.tamarackline.store;

import java.util.List;

import org.tamarackline.core.model.VmRecord;

/** The platform's list of live and leaving VMs, which lags behind. */
public interface VmDirectory {

    /**
     * Returns the VMs known to the platform.
     *
     * @throws PlatformUnavailableException if the platform did not answer in time
     */
    List<VmRecord> list() throws PlatformUnavailableException;
}
