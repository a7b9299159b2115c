package org.tamarackline.entry.cluster;

import java.util.List;

import org.tamarackline.core.config.ConfigurationViolation;
import org.tamarackline.core.model.NodeId;

/** The outcome of an operator's change of the configuration. */
public sealed interface ConfigurationChangeResult {

    /**
     * The change is accepted and will be in force everywhere.
     *
     * @param version version of the new configuration
     * @param inForce nodes that have it in force
     * @param unconfirmed nodes that did not confirm it in time; they fetch it or stop admitting work
     */
    record Accepted(long version, List<NodeId> inForce, List<NodeId> unconfirmed)
            implements ConfigurationChangeResult {}

    /**
     * The change was made to another version than the current one; read it and change it again.
     *
     * @param currentVersion current version
     */
    record Conflict(long currentVersion) implements ConfigurationChangeResult {}

    /**
     * The changed configuration is not valid and was not stored.
     *
     * @param violations all mistakes
     */
    record Invalid(List<ConfigurationViolation> violations) implements ConfigurationChangeResult {}

    /**
     * The change was certainly not made, because the platform does not answer.
     *
     * @param detail what failed
     */
    record NotAccepted(String detail) implements ConfigurationChangeResult {}

    /**
     * The change may have been made; the current version tells.
     *
     * @param version version that the change has if it was made
     */
    record Unknown(long version) implements ConfigurationChangeResult {}
}
