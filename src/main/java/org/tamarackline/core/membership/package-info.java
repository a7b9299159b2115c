/**
 * Rules for the membership of nodes: when a node may act on its shards, and when another node may take them over.
 *
 * <p>Node X acts on its shards while its status is not
 * {@link org.tamarackline.core.membership.MembershipStatus#ISOLATED}. Another node Z takes the shards over only when X can no
 * longer have another status. This follows from these rules:
 *
 * <ul>
 *   <li>X counts as confirmed for the membership lease, from the time at which it <em>sent</em> a heartbeat that took effect.
 *       Z has seen the counter of X unchanged for the takeover timeout, which is longer.
 *   <li>Without confirmation, X continues only with an unbroken chain of outage evidence. Each piece of evidence is the
 *       response of a peer Y and is valid for the membership lease, from the time at which X sent the request. Once the chain
 *       is broken, X is isolated until the platform confirms it again.
 *   <li>Before Z takes over, every other member has recorded in its own row that X is silent at this counter. A member writes
 *       that record no earlier than the membership lease plus a margin after its last evidence for X, and gives X no evidence
 *       while the record may be in its row. So when Z reads the records, every chain of X has ended, and no member is left
 *       that could start one.
 *   <li>Z marks the row of X as gone on condition that it is unchanged, so that X cannot be confirmed afterwards.
 * </ul>
 *
 * <p>Members that are silent at the same time do not write the record, and so prevent the takeover of each other. They may be
 * in a network partition together and continue during a platform outage.
 */
package org.tamarackline.core.membership;
