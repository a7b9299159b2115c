package org.tamarackline.entry.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamarackline.core.config.BuiltInProfiles;
import org.tamarackline.core.membership.MembershipStatus;
import org.tamarackline.core.model.CallerName;
import org.tamarackline.core.model.ProfileName;
import org.tamarackline.core.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JobServiceTest {

    private static final Resources SMALL = new Resources(1_000, 1_000, 0);
    private static final ProfileName BATCH = BuiltInProfiles.OVERNIGHT_PLAN.name();

    private final JobsFixture fixture = new JobsFixture();

    @BeforeEach
    void addWorker() throws Exception {
        fixture.addWorker("w1", "1", new Resources(16_000, 60_000, 0));
        fixture.run(Duration.ofSeconds(2));
    }

    private static Submission withKey(String key, int tasks) {
        Submission plain = JobsFixture.submission(BATCH, tasks, 1_000, SMALL);
        return new Submission(
                plain.team(), plain.profile(), tasks, plain.command(), plain.resources(), Optional.of(key));
    }

    private static void assertRefused(JobErrorCode code, ThrowingCallable call) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        JobRefusedException.class,
                        refused -> assertThat(refused.code()).isEqualTo(code));
    }

    /** Guards against a repeated submission with the same idempotency key that creates a second job. */
    @Test
    void treatsARepeatedSubmissionAsTheSameJob() throws Exception {
        JobView first = fixture.submit(withKey("monday", 3));
        assertThat(fixture.submit(withKey("monday", 3)).id()).isEqualTo(first.id());
        fixture.run(Duration.ofSeconds(8));
        assertThat(fixture.submit(withKey("monday", 3)).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(3);
        assertRefused(JobErrorCode.KEY_REUSED, () -> fixture.submit(withKey("monday", 4)));
    }

    /** Guards against a partly submitted job that runs after its submission failed between two transactions. */
    @Test
    void runsNothingOfAJobUntilItsSubmissionIsComplete() throws Exception {
        for (int i = 0; i < 3; i++) {
            fixture.platform.applyNextWithUnknownOutcome();
        }
        assertRefused(JobErrorCode.OUTCOME_UNKNOWN, () -> fixture.submit(withKey("tuesday", 500)));
        fixture.run(Duration.ofMinutes(2));
        assertThat(fixture.workers.history).isEmpty();
        fixture.submit(withKey("tuesday", 500));
        fixture.run(Duration.ofMinutes(4));
        assertThat(fixture.submit(withKey("tuesday", 500)).state()).isEqualTo(JobView.State.DONE);
        assertThat(fixture.workers.history).hasSize(500);
    }

    /** Guards against callers that read or cancel the jobs of other callers. */
    @Test
    void hidesJobsFromOtherCallers() throws Exception {
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 60_000, SMALL));
        CallerName other = new CallerName("nile leaf");
        assertRefused(JobErrorCode.NOT_FOUND, () -> fixture.call(() -> fixture.node.service.get(other, job.id())));
        assertRefused(JobErrorCode.NOT_FOUND, () -> fixture.call(() -> fixture.node.service.cancel(other, job.id())));
        assertRefused(
                JobErrorCode.NOT_FOUND, () -> fixture.call(() -> fixture.node.service.result(other, job.id(), 0)));
        assertThat(fixture.get(job).id()).isEqualTo(job.id());
    }

    /** Guards against a result that is returned before the task has ended, or for a task that does not exist. */
    @Test
    void givesTheResultOfATaskThatEnded() throws Exception {
        JobView job = fixture.submit(JobsFixture.submission(BATCH, 1, 1_000, SMALL));
        ThrowingCallable read = () -> fixture.call(() -> fixture.node.service.result(JobsFixture.CALLER, job.id(), 0));
        assertRefused(JobErrorCode.NOT_FINISHED, read);
        fixture.run(Duration.ofSeconds(8));
        assertRefused(JobErrorCode.NO_RESULT, read);
        byte[] content = "done".getBytes(StandardCharsets.UTF_8);
        fixture.platform.objects().put("result/" + job.id() + ".0", content);
        assertThat(fixture.call(() -> fixture.node.service.result(JobsFixture.CALLER, job.id(), 0)))
                .isEqualTo(content);
        assertRefused(
                JobErrorCode.NOT_FOUND,
                () -> fixture.call(() -> fixture.node.service.result(JobsFixture.CALLER, job.id(), 1)));
    }

    /** Guards against a submission that is accepted although its rows cannot be written. */
    @Test
    void refusesSubmissionsThatCannotBeRecorded() throws Exception {
        Submission submission = JobsFixture.submission(BATCH, 1, 1_000, SMALL);
        assertRefused(
                JobErrorCode.UNKNOWN_PROFILE,
                () -> fixture.submit(JobsFixture.submission(new ProfileName("none"), 1, 1, SMALL)));
        fixture.platform.setDown(true);
        assertRefused(JobErrorCode.PLATFORM_UNAVAILABLE, () -> fixture.submit(submission));
        fixture.node.cluster.setMembershipStatus(MembershipStatus.OUTAGE);
        assertRefused(JobErrorCode.PLATFORM_UNAVAILABLE, () -> fixture.submit(submission));
        fixture.node.cluster.setMembershipStatus(MembershipStatus.ISOLATED);
        assertRefused(JobErrorCode.NODE_ISOLATED, () -> fixture.submit(submission));
        fixture.platform.setDown(false);
        fixture.node.cluster.setMembershipStatus(MembershipStatus.CONFIRMED);
        fixture.run(Duration.ofSeconds(10));
        assertThat(fixture.workers.history).isEmpty();
    }
}
