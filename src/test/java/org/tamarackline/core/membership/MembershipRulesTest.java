package org.tamarackline.core.membership;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.Incarnation;
import org.tamarackline.core.model.NodeId;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against takeovers of nodes that may still act, and against nodes that act after they may be taken over. */
class MembershipRulesTest {

    private static final Duration HOLD = Duration.ofSeconds(3);
    private static final Duration TAKE = Duration.ofSeconds(5);
    private static final Duration GRACE = Duration.ofSeconds(60);
    private static final Incarnation FIRST = new Incarnation(1);
    private static final NodeId SELF = new NodeId("10.0.0.1:7400");
    private static final NodeId OTHER = new NodeId("10.0.0.2:7400");
    private static final NodeId DEAD = new NodeId("10.0.0.3:7400");

    private final MembershipView view = new MembershipView(Duration.ofMillis(1500));
    private final TakeoverRule rule = new TakeoverRule(TAKE, GRACE);

    private static long ms(long millis) {
        return millis * 1_000_000;
    }

    private static NodeRow row(NodeId node, long counter, List<SilentPeer> silent) {
        return new NodeRow(node, FIRST, counter, new DataCentre("dc0"), "10.0.0.1:80", NodeState.LIVE, silent);
    }

    /** Polls twice a second while the dead node stays at counter 7 and the others move. */
    private void poll(long fromMs, long toMs, boolean recorded) {
        List<SilentPeer> silent = recorded ? List.of(new SilentPeer(DEAD, FIRST, 7)) : List.of();
        for (long now = fromMs; now <= toMs; now += 500) {
            view.observe(
                    List.of(row(SELF, now, silent), row(OTHER, now, silent), row(DEAD, 7, List.of())),
                    ms(now),
                    ms(now + 10));
        }
    }

    private TakeoverRule.Verdict judge() {
        return rule.judge(view.row(DEAD).orElseThrow(), view);
    }

    @Test
    void silentMemberIsTakenOverOnceAllOthersRecordedIt() {
        poll(0, 5_000, true);
        assertThat(judge()).isInstanceOf(TakeoverRule.Verdict.NotSilent.class);
        poll(5_500, 5_500, true);
        assertThat(judge()).isInstanceOf(TakeoverRule.Verdict.Allowed.class);
    }

    @Test
    void missingRecordsBlockUntilTheGraceHasPassed() {
        poll(0, 10_000, false);
        assertThat(judge()).isEqualTo(new TakeoverRule.Verdict.Waiting(List.of(SELF, OTHER)));
        poll(10_500, 66_000, false);
        assertThat(judge()).isInstanceOf(TakeoverRule.Verdict.Allowed.class);
    }

    @Test
    void recordOfAnEarlierCounterDoesNotCount() {
        assertThat(row(OTHER, 1, List.of(new SilentPeer(DEAD, FIRST, 6))).sawSilent(row(DEAD, 7, List.of())))
                .isFalse();
    }

    @Test
    void gapBetweenPollsRestartsTheWindow() {
        poll(0, 4_500, true);
        poll(6_500, 7_000, true);
        assertThat(judge()).isInstanceOf(TakeoverRule.Verdict.NotSilent.class);
        assertThat(view.silentFor(DEAD)).isLessThan(Duration.ofSeconds(1));
    }

    @Test
    void confirmationEndsHoldTimeAfterItWasSent() {
        StandingRecord record = joined();
        assertThat(record.at(ms(2_999))).isEqualTo(Standing.CONFIRMED);
        assertThat(record.at(ms(3_000))).isEqualTo(Standing.ISOLATED);
    }

    @Test
    void confirmationNeedsAPollToo() {
        StandingRecord record = joined();
        record.heartbeat(ms(2_000));
        assertThat(record.at(ms(3_500))).isEqualTo(Standing.ISOLATED);
    }

    @Test
    void outageLastsWhileTheChainOfEvidenceIsUnbroken() {
        StandingRecord record = joined();
        record.evidence(ms(2_500));
        record.evidence(ms(5_400));
        assertThat(record.at(ms(8_300))).isEqualTo(Standing.OUTAGE);
        record.evidence(ms(8_500));
        assertThat(record.at(ms(8_600))).isEqualTo(Standing.ISOLATED);
    }

    @Test
    void outageEndsWithTheGrace() {
        StandingRecord record = joined();
        for (long now = 1_000; now < 70_000; now += 1_000) {
            record.evidence(ms(now));
        }
        assertThat(record.at(ms(59_999))).isEqualTo(Standing.OUTAGE);
        assertThat(record.at(ms(60_000))).isEqualTo(Standing.ISOLATED);
    }

    @Test
    void memberIsRecordedOnlyAfterEvidenceForItHasRested() {
        SilenceRecord record = new SilenceRecord(HOLD, HOLD);
        record.evidenceGiven(DEAD, ms(3_500));
        poll(0, 5_000, false);
        assertThat(record.due(SELF, view, ms(6_000))).isEmpty();
        assertThat(record.due(SELF, view, ms(6_500))).containsExactly(new SilentPeer(DEAD, FIRST, 7));
    }

    @Test
    void recordBindsUntilALaterHeartbeatWithoutItTookEffect() {
        SilenceRecord record = new SilenceRecord(HOLD, HOLD);
        record.attempted(1, List.of(new SilentPeer(DEAD, FIRST, 7)));
        record.attempted(2, List.of());
        assertThat(record.mayRecord(DEAD, FIRST)).isTrue();
        record.written(2);
        assertThat(record.mayRecord(DEAD, FIRST)).isFalse();
    }

    private static StandingRecord joined() {
        StandingRecord record = new StandingRecord(HOLD, GRACE, false);
        record.heartbeat(0);
        record.poll(0);
        return record;
    }
}
