package org.tamarackline.core.routing;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tamarackline.core.model.RunnerId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that wait although they cannot meet their deadline, retries that multiply the load, and ejections of
 * too many runners or for ever.
 */
class AdmissionTest {

    private static final RunnerId RUNNER = new RunnerId("r1");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @Test
    void queueServesTheEarliestDeadlineFirst() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(3);
        queue.offer("late", 30, 0, 1, 1);
        queue.offer("early", 10, 0, 1, 1);
        queue.offer("same", 10, 0, 1, 1);
        assertThat(queue.peek().orElseThrow().item()).isEqualTo("early");
        assertThat(queue.remove(queue.peek().orElseThrow())).isTrue();
        assertThat(queue.peek().orElseThrow().item()).isEqualTo("same");
        assertThat(queue.removeUnservable(10, 1)).containsExactly("same");
        assertThat(queue.peek().orElseThrow().item()).isEqualTo("late");
    }

    @Test
    void queueRejectsRequestsThatMissTheirDeadlineOrExceedItsLength() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(2);
        assertThat(queue.offer("hopeless", 25, 0, 1, 20)).isInstanceOf(AdmissionQueue.Offer.DeadlineUnreachable.class);
        assertThat(queue.offer("enough slots", 25, 0, 10, 20)).isInstanceOf(AdmissionQueue.Offer.Queued.class);
        assertThat(queue.offer("unknown time", 25, 0, 1, 0)).isInstanceOf(AdmissionQueue.Offer.Queued.class);
        assertThat(queue.offer("too many", 25, 0, 1, 0)).isInstanceOf(AdmissionQueue.Offer.Full.class);
        assertThat(queue.size()).isEqualTo(2);
    }

    @Test
    void deadlinesAreOrderedAcrossTheOverflowOfTheClock() {
        AdmissionQueue<String> queue = new AdmissionQueue<>(2);
        long nowNanos = Long.MAX_VALUE - 10;
        queue.offer("after", nowNanos + 30, nowNanos, 1, 1);
        queue.offer("before", nowNanos + 5, nowNanos, 1, 1);
        assertThat(queue.peek().orElseThrow().item()).isEqualTo("before");
    }

    @Test
    void serviceTimeFollowsChanges() {
        ServiceTimeAverage time = new ServiceTimeAverage();
        assertThat(time.meanNanos()).isZero();
        time.record(100);
        assertThat(time.meanNanos()).isEqualTo(100);
        for (int i = 0; i < 200; i++) {
            time.record(1_000);
        }
        assertThat(time.meanNanos()).isBetween(990L, 1_000L);
    }

    @Test
    void retriesAreLimitedToAShareOfRequests() {
        RetryBudget budget = new RetryBudget(10);
        assertThat(budget.tryAcquire()).isFalse();
        for (int i = 0; i < 20; i++) {
            budget.recordRequest();
        }
        assertThat(List.of(budget.tryAcquire(), budget.tryAcquire(), budget.tryAcquire()))
                .containsExactly(true, true, false);
        for (int i = 0; i < 10_000; i++) {
            budget.recordRequest();
        }
        int saved = 0;
        while (budget.tryAcquire()) {
            saved++;
        }
        assertThat(saved).isEqualTo(20);
    }

    @Test
    void ejectedRunnerReturnsByASingleProbeAfterAGrowingTime() {
        OutlierDetector detector = new OutlierDetector(limits());
        fail(detector, RUNNER, 2, 0);
        assertThat(detector.isUsable(RUNNER, 0)).isTrue();
        fail(detector, RUNNER, 1, 0);
        assertThat(detector.isUsable(RUNNER, SECOND - 1)).isFalse();
        detector.recordSuccess(RUNNER);
        assertThat(detector.isUsable(RUNNER, SECOND - 1))
                .as("after a response to a request sent before the ejection")
                .isFalse();

        assertThat(detector.isUsable(RUNNER, SECOND)).isTrue();
        detector.recordGrant(RUNNER, SECOND);
        assertThat(detector.isUsable(RUNNER, SECOND)).as("second probe").isFalse();
        fail(detector, RUNNER, 1, SECOND);
        assertThat(detector.isUsable(RUNNER, 3 * SECOND - 1)).isFalse();
        assertThat(detector.isUsable(RUNNER, 3 * SECOND)).isTrue();

        detector.recordGrant(RUNNER, 3 * SECOND);
        detector.recordUnused(RUNNER);
        assertThat(detector.isUsable(RUNNER, 3 * SECOND)).as("probe not sent").isTrue();
        detector.recordGrant(RUNNER, 3 * SECOND);
        detector.recordSuccess(RUNNER);
        assertThat(detector.isEjected(RUNNER)).isFalse();
    }

    @Test
    void neverEjectsMoreThanTheAllowedShare() {
        OutlierDetector detector = new OutlierDetector(limits());
        for (int i = 0; i < 10; i++) {
            fail(detector, new RunnerId("r" + i), 5, 0);
        }
        assertThat(detector.ejectedCount()).isEqualTo(4);
    }

    private static void fail(OutlierDetector detector, RunnerId runner, int times, long nowNanos) {
        for (int i = 0; i < times; i++) {
            detector.recordFailure(runner, nowNanos, 10);
        }
    }

    private static OutlierDetector.Limits limits() {
        return new OutlierDetector.Limits(3, Duration.ofSeconds(1), Duration.ofSeconds(60), 40);
    }
}
