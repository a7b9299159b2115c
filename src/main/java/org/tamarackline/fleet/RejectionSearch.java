package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Seeks the change because of which the store rejects a transaction: the changes of the transaction are sent again in
 * halves, until one that contains a single change is rejected.
 */
final class RejectionSearch {

    private final List<ChangeKey> suspects = new ArrayList<>();
    private final List<ChangeKey> tested = new ArrayList<>();

    /** Returns whether transactions must contain only the changes that are tested. */
    boolean active() {
        return !suspects.isEmpty();
    }

    /** Chooses the suspects that the next transaction contains. */
    void startTest() {
        tested.clear();
        tested.addAll(suspects.subList(0, (suspects.size() + 1) / 2));
    }

    /** Returns the suspects that the next transaction contains. */
    List<ChangeKey> tested() {
        return List.copyOf(tested);
    }

    /** Returns whether the next transaction may contain a change. */
    boolean permits(ChangeKey change) {
        return !active() || tested.contains(change);
    }

    /** A transaction with these changes was rejected; a single change is the one that was sought. */
    void onRejected(Collection<ChangeKey> rejected) {
        suspects.clear();
        if (rejected.size() > 1) {
            suspects.addAll(rejected);
        }
    }

    /** The changes of the last test were stored, or need not be any more. */
    void onStored() {
        suspects.removeAll(tested);
        tested.clear();
    }
}
