/**
 * Decisions about the membership of nodes: what a node may rely on and when another one may take its shards.
 *
 * <p>A node X acts on its shards while its standing is not {@link org.tamarackline.core.membership.MembershipStatus#ISOLATED}.
 * Another node Z takes them only when X can no longer be in that state. The argument, on which the rules depend:
 *
 * <ul>
 *   <li>X counts as confirmed for {@code holdTime} after it <em>sent</em> a heartbeat that took effect. Z has seen the
 *       counter of X unchanged for {@code takeTime}, which is longer.
 *   <li>Without confirmation X goes on only in an unbroken chain of outage evidence: each link is the answer of a peer Y
 *       and is good for {@code holdTime} from the moment at which X asked. A node whose chain broke is isolated until the
 *       platform confirms it again.
 *   <li>Before Z takes over, every other member has recorded in its own row that it sees X silent at this counter. A
 *       member writes that record no earlier than {@code holdTime} plus a margin after its last evidence for X, and gives
 *       X no evidence while the record may be in its row. So when Z reads the records, every chain of X has ended, and no
 *       member that could start one is left.
 *   <li>Z marks X's row as gone on condition that it is unchanged, so that X cannot be confirmed afterwards.
 * </ul>
 *
 * <p>Members that are silent together do not write the record, and so block each other's takeover: they may be a group
 * that is cut off as a whole and goes on in an outage.
 */
package org.tamarackline.core.membership;
