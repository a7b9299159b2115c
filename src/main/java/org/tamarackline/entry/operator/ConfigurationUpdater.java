package org.tamarackline.entry.operator;

import java.util.List;
import java.util.function.UnaryOperator;

import org.tamarackline.core.config.Configuration;
import org.tamarackline.core.model.NodeId;

/** Applies operators' changes to the configuration of all nodes. */
public interface ConfigurationUpdater {

    /**
     * Applies {@code change} to the configuration, provided that it is still at {@code expectedVersion}.
     *
     * @throws OperatorException if another change came first, the platform is unreachable, or the outcome is unknown
     */
    AcceptedChange change(long expectedVersion, UnaryOperator<Configuration> change) throws OperatorException;

    /**
     * An accepted change.
     *
     * @param version version of the changed configuration
     * @param inForce nodes that confirmed that it is in force
     * @param notAnswered nodes that did not respond in time; they get it from the platform or a peer
     */
    record AcceptedChange(long version, List<NodeId> inForce, List<NodeId> notAnswered) {}
}
