package org.tamarackline.entry.cluster;

import java.util.List;

import org.tamarackline.core.config.ConfigurationViolation;
import org.tamarackline.core.model.NodeId;

/** The result of an operator's change of the configuration, as {@link ConfigurationWriter} returns it. */
public sealed interface ConfigurationChangeResult {

    /**
     * The change is stored and will come into force on all nodes.
     *
     * @param version version of the new configuration
     * @param inForce nodes on which it is in force
     * @param unconfirmed nodes that did not confirm it in time; they fetch it later or stop admitting requests and jobs
     */
    record Accepted(long version, List<NodeId> inForce, List<NodeId> unconfirmed)
            implements ConfigurationChangeResult {}

    /**
     * The change was based on a version that is not the current one; the operator has to repeat it on the current
     * version.
     *
     * @param currentVersion current version of the configuration
     */
    record Conflict(long currentVersion) implements ConfigurationChangeResult {}

    /**
     * The changed configuration is not valid and was not stored.
     *
     * @param violations all violations
     */
    record Invalid(List<ConfigurationViolation> violations) implements ConfigurationChangeResult {}

    /**
     * The change was certainly not stored, because the platform does not respond, the current configuration cannot be
     * read or the changed one is too large.
     *
     * @param detail what failed
     */
    record NotAccepted(String detail) implements ConfigurationChangeResult {}

    /**
     * It is unknown whether the change was stored; the current version shows it.
     *
     * @param version version that the change has if it was stored
     */
    record Unknown(long version) implements ConfigurationChangeResult {}
}
