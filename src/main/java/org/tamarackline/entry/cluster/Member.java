package org.tamarackline.entry.cluster;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.model.Region;

/**
 * Another node of the cluster.
 *
 * @param node identity of the node
 * @param region region of the node
 * @param dataCentre data centre of the node
 * @param leaving whether the node is shutting down and accepts no new work
 */
public record Member(NodeId node, Region region, DataCentre dataCentre, boolean leaving) {}
