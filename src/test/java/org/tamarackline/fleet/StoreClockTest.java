package org.tamarackline.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the bounds on the store's clock are correct and as close as the readings allow. */
class StoreClockTest {

    private static final long MS = 1_000_000;

    private final StoreClock clock = new StoreClock();

    @Test
    void knowsNothingBeforeTheFirstReading() {
        assertThat(clock.earliestMs(MS)).isEmpty();
        assertThat(clock.latestMs(MS)).isEmpty();
    }

    /** Guards against bounds that ignore the duration of the request or the drift of the clocks. */
    @Test
    void boundsAllowForTheRequestAndForDrift() {
        clock.addReading(10_000, 1_000 * MS, 1_100 * MS);
        assertThat(clock.earliestMs(1_100 * MS)).hasValue(10_000);
        assertThat(clock.latestMs(1_100 * MS)).hasValue(10_000 + 1 + 102);
        assertThat(clock.earliestMs(6_100 * MS)).hasValue(10_000 + 4_900);
        assertThat(clock.latestMs(6_100 * MS)).hasValue(10_000 + 1 + 5_202);
    }

    /** Guards against bounds that are wider by the time that a request waited for a change. */
    @Test
    void readingOfALongRequestDoesNotReplaceACloserOne() {
        clock.addReading(10_000, 1_000 * MS, 1_010 * MS);
        clock.addReading(11_005, 1_010 * MS, 2_010 * MS);
        assertThat(clock.latestMs(2_010 * MS)).hasValue(10_000 + 1 + 1_031);
    }

    /** Guards against bounds that keep widening although there are new readings. */
    @Test
    void readingReplacesAnOlderOneThatHasBecomeLessClose() {
        clock.addReading(10_000, 1_000 * MS, 1_010 * MS);
        clock.addReading(60_000, 50_900 * MS, 51_000 * MS);
        assertThat(clock.earliestMs(51_000 * MS)).hasValue(60_000);
    }

    /** Guards against an older reading that replaces a newer one because its response was late. */
    @Test
    void lateResponseDoesNotReplaceACloserReading() {
        clock.addReading(12_000, 3_000 * MS, 3_010 * MS);
        clock.addReading(10_500, 1_000 * MS, 3_500 * MS);
        assertThat(clock.earliestMs(3_510 * MS)).hasValue(12_490);
        assertThat(clock.latestMs(3_500 * MS)).hasValue(12_511);
    }
}
