package org.tamarackline.entry.operator;

import java.util.List;
import java.util.function.UnaryOperator;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.NodeId;

/** Changes the configuration of the whole installation. */
public interface ConfigurationUpdater {

    /**
     * Applies {@code change} to the configuration, provided that it is still at {@code expectedVersion}.
     *
     * @throws OperatorException if another change came first, the platform is out of reach, or the outcome is unknown
     */
    AcceptedChange change(long expectedVersion, UnaryOperator<Configuration> change) throws OperatorException;

    /**
     * An accepted change.
     *
     * @param version version of the configuration that has the change
     * @param inForce nodes that confirmed to have it in force
     * @param notAnswered nodes that did not answer in time; they learn it from the platform or a peer
     */
    record AcceptedChange(long version, List<NodeId> inForce, List<NodeId> notAnswered) {}
}
