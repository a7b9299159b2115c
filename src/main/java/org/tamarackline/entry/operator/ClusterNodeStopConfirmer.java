package org.tamarackline.entry.operator;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.entry.cluster.ClusterNode;
import org.tamarackline.store.OutcomeUnknownException;
import org.tamarackline.store.PlatformUnavailableException;
import org.tamarackline.store.TransactionConflictException;

/** Marks nodes that operators confirm as stopped as gone in the platform's table. */
@Singleton
public final class ClusterNodeStopConfirmer implements NodeStopConfirmer {

    private final ClusterNode clusterNode;

    @Inject
    ClusterNodeStopConfirmer(ClusterNode clusterNode) {
        this.clusterNode = clusterNode;
    }

    @Override
    public void confirmStopped(NodeId node) throws OperatorException {
        if (node.equals(clusterNode.self())) {
            throw new OperatorException(
                    OperatorErrorCode.INVALID, "this node is running; confirm only nodes whose process has ended");
        }
        try {
            if (!clusterNode.confirmStopped(node)) {
                throw new OperatorException(
                        OperatorErrorCode.NOT_FOUND, "there is no node \"%s\" in this region".formatted(node));
            }
        } catch (TransactionConflictException e) {
            throw new OperatorException(
                    OperatorErrorCode.NODE_LIVE,
                    "node \"%s\" has just renewed its row, so it is running".formatted(node));
        } catch (PlatformUnavailableException e) {
            throw new OperatorException(
                    OperatorErrorCode.PLATFORM_UNAVAILABLE,
                    "the platform is unreachable; repeat the confirmation later");
        } catch (OutcomeUnknownException e) {
            throw new OperatorException(
                    OperatorErrorCode.OUTCOME_UNKNOWN, "the platform's response was lost; repeat the confirmation");
        }
    }
}
