package org.tamarackline.entry.cluster;

import org.tamarackline.core.model.Incarnation;

/** Draws incarnations that differ from all earlier ones. */
@FunctionalInterface
interface IncarnationSource {

    /** Returns a new incarnation. */
    Incarnation next();
}
