package org.tamarackline.entry.proxy;

import org.tamarackline.core.routing.SlotHandover;

/** How the slots of a gained group stand. */
public sealed interface GroupOrigin {
    /** No one used them before. */
    record FirstOwner() implements GroupOrigin {}

    /** The earlier owner failed; what it granted may still be in use. */
    record Takeover() implements GroupOrigin {}

    /**
     * The earlier owner named its open uses.
     *
     * @param state open uses
     */
    record Handover(SlotHandover state) implements GroupOrigin {}
}
