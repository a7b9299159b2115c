package org.tamarackline.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which log lines a trace of a job contains. */
class JobTraceTest {

    private static final String JOB = "00000000000000a1";
    private static final String SUBMIT = "{\"timeMs\":5000,\"event\":\"submit\",\"job\":\"00000000000000a1\"}";
    private static final String START =
            "{\"timeMs\":6000,\"event\":\"start\",\"job\":\"00000000000000a1\",\"runner\":\"r1\"}";
    private static final String LEADER = "{\"timeMs\":5500,\"event\":\"leader-started\",\"epoch\":2}";
    private static final String SILENT = "{\"timeMs\":6500,\"event\":\"runner-silent\",\"runner\":\"r1\"}";

    /**
     * Guards against a trace that lacks the cause of a job's wait, or that includes the lines of other jobs and
     * runners.
     */
    @Test
    void showsTheJobAndWhatHappenedAroundIt() {
        JobTrace trace = new JobTrace(JOB);
        List.of(
                        "6.0 node-1 " + START,
                        "5.0 node-2 " + SUBMIT,
                        "5.5 node-1 " + LEADER,
                        "6.5 node-1 " + SILENT,
                        "{\"timeMs\":5600,\"event\":\"submit\",\"job\":\"00000000000000b2\"}",
                        "{\"timeMs\":5600,\"event\":\"runner-silent\",\"runner\":\"r2\"}",
                        "{\"timeMs\":90000,\"event\":\"leader-started\",\"epoch\":3}",
                        "not a line of the log",
                        "{broken")
                .forEach(trace::add);
        assertThat(trace.lines()).containsExactly(SUBMIT, LEADER, START, SILENT);
    }

    @Test
    void isEmptyIfNoLineNamesTheJob() {
        JobTrace trace = new JobTrace(JOB);
        trace.add(LEADER);
        assertThat(trace.lines()).isEmpty();
    }
}
