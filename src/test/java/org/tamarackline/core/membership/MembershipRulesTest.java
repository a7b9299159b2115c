package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against the takeover of a node that may still act, and against a node that acts after it may be taken over. */
class MembershipRulesTest {

    private static final Duration MEMBERSHIP_LEASE = Duration.ofSeconds(3);
    private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration OUTAGE_GRACE = Duration.ofSeconds(60);
    private static final Incarnation INCARNATION = new Incarnation(1);
    private static final NodeId SELF = new NodeId("10.0.0.1:7400");
    private static final NodeId OTHER = new NodeId("10.0.0.2:7400");
    private static final NodeId SILENT = new NodeId("10.0.0.3:7400");

    private final MembershipView view = new MembershipView(Duration.ofMillis(1500));
    private final TakeoverRule rule = new TakeoverRule(TAKEOVER_TIMEOUT, OUTAGE_GRACE);

    private static long ms(long millis) {
        return millis * 1_000_000;
    }

    private static NodeRow row(NodeId node, long counter, List<SilentPeer> silent) {
        return new NodeRow(node, INCARNATION, counter, new DataCentre("dc0"), "10.0.0.1:80", NodeState.LIVE, silent);
    }

    /** Polls twice a second while the silent node stays at counter 7 and the others send heartbeats. */
    private void poll(long fromMs, long toMs, boolean recorded) {
        List<SilentPeer> silent = recorded ? List.of(new SilentPeer(SILENT, INCARNATION, 7)) : List.of();
        for (long now = fromMs; now <= toMs; now += 500) {
            view.observe(
                    List.of(row(SELF, now, silent), row(OTHER, now, silent), row(SILENT, 7, List.of())),
                    ms(now),
                    ms(now + 10));
        }
    }

    private TakeoverRule.Decision decide() {
        return rule.decide(view.row(SILENT).orElseThrow(), view);
    }

    @Test
    void silentMemberIsTakenOverOnceAllOthersRecordedIt() {
        poll(0, 5_000, true);
        assertThat(decide()).isInstanceOf(TakeoverRule.Decision.NotDue.class);
        poll(5_500, 5_500, true);
        assertThat(decide()).isInstanceOf(TakeoverRule.Decision.Allowed.class);
    }

    @Test
    void missingRecordsBlockUntilTheGraceHasPassed() {
        poll(0, 10_000, false);
        assertThat(decide()).isEqualTo(new TakeoverRule.Decision.AwaitingSilenceRecords(List.of(SELF, OTHER)));
        poll(10_500, 66_000, false);
        assertThat(decide()).isInstanceOf(TakeoverRule.Decision.Allowed.class);
    }

    @Test
    void recordOfAnEarlierCounterDoesNotCount() {
        assertThat(row(OTHER, 1, List.of(new SilentPeer(SILENT, INCARNATION, 6)))
                        .recordsAsSilent(row(SILENT, 7, List.of())))
                .isFalse();
    }

    @Test
    void gapBetweenPollsRestartsTheWindow() {
        poll(0, 4_500, true);
        poll(6_500, 7_000, true);
        assertThat(decide()).isInstanceOf(TakeoverRule.Decision.NotDue.class);
        assertThat(view.silentFor(SILENT)).isLessThan(Duration.ofSeconds(1));
    }

    @Test
    void confirmationLastsForTheMembershipLease() {
        MembershipStatusTracker tracker = joinedTracker();
        assertThat(tracker.statusAt(ms(2_999))).isEqualTo(MembershipStatus.CONFIRMED);
        assertThat(tracker.statusAt(ms(3_000))).isEqualTo(MembershipStatus.ISOLATED);
    }

    @Test
    void confirmationNeedsAPollToo() {
        MembershipStatusTracker tracker = joinedTracker();
        tracker.recordHeartbeat(ms(2_000));
        assertThat(tracker.statusAt(ms(3_500))).isEqualTo(MembershipStatus.ISOLATED);
    }

    @Test
    void outageLastsWhileTheChainOfEvidenceIsUnbroken() {
        MembershipStatusTracker tracker = joinedTracker();
        tracker.recordEvidence(ms(2_500));
        tracker.recordEvidence(ms(5_400));
        assertThat(tracker.statusAt(ms(8_300))).isEqualTo(MembershipStatus.OUTAGE);
        tracker.recordEvidence(ms(8_500));
        assertThat(tracker.statusAt(ms(8_600))).isEqualTo(MembershipStatus.ISOLATED);
    }

    @Test
    void outageEndsWithTheGrace() {
        MembershipStatusTracker tracker = joinedTracker();
        for (long now = 1_000; now < 70_000; now += 1_000) {
            tracker.recordEvidence(ms(now));
        }
        assertThat(tracker.statusAt(ms(59_999))).isEqualTo(MembershipStatus.OUTAGE);
        assertThat(tracker.statusAt(ms(60_000))).isEqualTo(MembershipStatus.ISOLATED);
    }

    @Test
    void memberIsRecordedOnlyAfterTheEvidenceCooldown() {
        SilenceTracker tracker = new SilenceTracker(MEMBERSHIP_LEASE, MEMBERSHIP_LEASE);
        tracker.evidenceGiven(SILENT, ms(3_500));
        poll(0, 5_000, false);
        assertThat(tracker.peersToRecord(SELF, view, ms(6_000))).isEmpty();
        assertThat(tracker.peersToRecord(SELF, view, ms(6_500)))
                .containsExactly(new SilentPeer(SILENT, INCARNATION, 7));
    }

    @Test
    void recordBindsUntilALaterHeartbeatWithoutItTookEffect() {
        SilenceTracker tracker = new SilenceTracker(MEMBERSHIP_LEASE, MEMBERSHIP_LEASE);
        tracker.heartbeatAttempted(1, List.of(new SilentPeer(SILENT, INCARNATION, 7)));
        tracker.heartbeatAttempted(2, List.of());
        assertThat(tracker.mayBeRecorded(SILENT, INCARNATION)).isTrue();
        tracker.heartbeatWritten(2);
        assertThat(tracker.mayBeRecorded(SILENT, INCARNATION)).isFalse();
    }

    private static MembershipStatusTracker joinedTracker() {
        MembershipStatusTracker tracker = new MembershipStatusTracker(MEMBERSHIP_LEASE, OUTAGE_GRACE, false);
        tracker.recordHeartbeat(0);
        tracker.recordPoll(0);
        return tracker;
    }
}
