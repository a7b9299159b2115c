package org.tamarackline.fleet;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.tamarackline.logging.LogCapture;

import static org.assertj.core.api.Assertions.assertThat;

class SingleThreadLoopTest {

    /** Guards against a step that fails without a trace, because an error is not an exception. */
    @Test
    void stepThatFailsWithAnErrorIsLoggedAndTheLoopGoesOn() throws InterruptedException {
        CountDownLatch laterStep = new CountDownLatch(1);
        try (LogCapture log = new LogCapture(SingleThreadLoop.class);
                SingleThreadLoop loop = new SingleThreadLoop("test")) {
            loop.execute(() -> {
                throw new StackOverflowError("test");
            });
            loop.schedule(Duration.ofMillis(20), laterStep::countDown);
            assertThat(laterStep.await(5, TimeUnit.SECONDS)).isTrue();
            assertThat(log.messages()).singleElement().asString().startsWith("event loop step failed");
        }
    }

    /** Guards against a log that is flooded by a step that fails again and again. */
    @Test
    void repeatedFailuresAreLoggedAtMostOnceASecond() throws InterruptedException {
        CountDownLatch laterStep = new CountDownLatch(1);
        try (LogCapture log = new LogCapture(SingleThreadLoop.class);
                SingleThreadLoop loop = new SingleThreadLoop("test")) {
            long startNanos = System.nanoTime();
            for (int i = 0; i < 1_000; i++) {
                loop.execute(() -> {
                    throw new IllegalStateException("test");
                });
            }
            loop.execute(laterStep::countDown);
            assertThat(laterStep.await(30, TimeUnit.SECONDS)).isTrue();
            long elapsedS = Duration.ofNanos(System.nanoTime() - startNanos).toSeconds();
            assertThat(log.messages()).hasSizeLessThanOrEqualTo((int) elapsedS + 2);
        }
    }
}
