package org.tamarackline.entry.proxy;

import org.tamarackline.core.routing.SlotHandover;

/** How this node acquired a runner group, which determines which of its slots may still be in use. */
public sealed interface GroupOrigin {
    /** The group had no earlier owner; no slot is in use. */
    record FirstOwner() implements GroupOrigin {}

    /** The earlier owner failed; slots that it granted may still be in use. */
    record Takeover() implements GroupOrigin {}

    /**
     * The earlier owner handed the group over with a list of its open uses.
     *
     * @param state open uses of the slots
     */
    record Handover(SlotHandover state) implements GroupOrigin {}
}
