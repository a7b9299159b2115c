package org.tamarackline.entry.proxy;

import org.tamarackline.core.routing.SlotHandover;

/** How the slots of a gained group stand. */
public sealed interface GroupOrigin {
    /** No one used them before. */
    record Fresh() implements GroupOrigin {}

    /** The earlier owner failed; what it granted may still be in use. */
    record AfterFailure() implements GroupOrigin {}

    /**
     * The earlier owner named its open uses.
     *
     * @param state open uses
     */
    record HandedOver(SlotHandover state) implements GroupOrigin {}
}
