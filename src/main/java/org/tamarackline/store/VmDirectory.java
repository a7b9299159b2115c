package org.tamarackline.store;

import java.util.List;

import org.tamarackline.core.model.VmRecord;

/** The platform's list of live and leaving VMs. It lags behind their actual state. */
public interface VmDirectory {

    /**
     * Returns the VMs that the platform lists.
     *
     * @throws PlatformUnavailableException if the platform refused the call or did not respond in time
     */
    List<VmRecord> list() throws PlatformUnavailableException;
}
