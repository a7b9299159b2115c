package org.tamarackline.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Stored record of the current leader.
 *
 * <p>It is in the table of jobs, so that a leader that follows this table learns of its successor before it learns of
 * jobs accepted later.
 *
 * @param epoch fencing token of the leader, from 1
 * @param node name of the leader's node
 * @param address address where other nodes reach the leader
 * @param incarnation random number drawn at the start of the leader's process, which distinguishes it from other
 *     processes of the node
 * @param resigned whether the leader has resigned
 * @param possiblyActive earlier leaders that may still send commands, each with a different address
 * @param leasesLimitedSinceEpoch epoch from which on all leaders grant leases only up to the stored limit; 0 if this leader
 *     does not, because it runs an earlier version of this program
 * @param successor name of the node in whose favour the leader has resigned, empty if there is none
 */
record LeaderRecord(
        long epoch,
        String node,
        String address,
        long incarnation,
        boolean resigned,
        List<EarlierLeader> possiblyActive,
        long leasesLimitedSinceEpoch,
        String successor) {

    /** Key of the record; sorts before all job identifiers. */
    static final String KEY = "!leader";

    private static final String NO_SUCCESSOR = "";

    /** Copies the list, so that later changes to it do not affect the record. */
    LeaderRecord {
        possiblyActive = List.copyOf(possiblyActive);
    }

    /** Creates the record of a leader that has not resigned. */
    LeaderRecord(
            long epoch,
            String node,
            String address,
            long incarnation,
            List<EarlierLeader> possiblyActive,
            long leasesLimitedSinceEpoch) {
        this(epoch, node, address, incarnation, false, possiblyActive, leasesLimitedSinceEpoch, NO_SUCCESSOR);
    }

    /** Creates the record of a leader before which all leaders granted leases only up to the stored limit. */
    LeaderRecord(
            long epoch,
            String node,
            String address,
            long incarnation,
            boolean resigned,
            List<EarlierLeader> possiblyActive) {
        this(epoch, node, address, incarnation, resigned, possiblyActive, 1, NO_SUCCESSOR);
    }

    /**
     * Leader that was replaced.
     *
     * @param epoch highest epoch that was led from its address
     * @param address address where other nodes reach it, empty if it is not known
     */
    record EarlierLeader(long epoch, String address) {

        private static final String UNKNOWN_ADDRESS = "";

        /** Returns the entry for all leaders up to an epoch whose addresses are not known. */
        static EarlierLeader unknown(long highestEpoch) {
            return new EarlierLeader(highestEpoch, UNKNOWN_ADDRESS);
        }

        /** Returns whether the leader can be asked to step down. */
        boolean hasAddress() {
            return !address.equals(UNKNOWN_ADDRESS);
        }
    }

    /**
     * Returns the record that the leader stores to resign.
     *
     * @param earlierLeadersEnded whether all earlier leaders are known to have ended
     * @param intendedSuccessor name of the node that should take over, empty if none is known
     */
    LeaderRecord asResigned(boolean earlierLeadersEnded, Optional<String> intendedSuccessor) {
        return new LeaderRecord(
                epoch,
                node,
                address,
                incarnation,
                true,
                earlierLeadersEnded ? List.of() : possiblyActive,
                leasesLimitedSinceEpoch,
                intendedSuccessor.orElse(NO_SUCCESSOR));
    }

    /** Returns whether the leader has resigned in favour of a node other than the given one. */
    boolean resignedInFavourOfOtherThan(String otherNode) {
        return resigned && !successor.equals(NO_SUCCESSOR) && !successor.equals(otherNode);
    }

    /** Returns the leaders that may still send commands after a leader at the given address has replaced this one. */
    List<EarlierLeader> possiblyActiveAfter(String successorAddress) {
        List<EarlierLeader> leaders = new ArrayList<>(possiblyActive);
        leaders.removeIf(earlier -> earlier.address().equals(address));
        leaders.add(new EarlierLeader(epoch, address));
        // Only one process has the successor's address, and it does not lead with any other epoch.
        leaders.removeIf(earlier -> earlier.address().equals(successorAddress));
        return leaders;
    }
}
