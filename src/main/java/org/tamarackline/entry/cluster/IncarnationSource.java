package org.tamarackline.entry.cluster;

import org.tamarackline.core.model.Incarnation;

/** Generates incarnations that differ from all earlier ones; a node takes a new one each time that it joins. */
@FunctionalInterface
interface IncarnationSource {

    /** Returns a new incarnation. */
    Incarnation next();
}
