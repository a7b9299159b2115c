package org.tamarackline.load;

/**
 * What the demonstration showed.
 *
 * @param load measurements of the quick requests
 * @param requests what became of the requests
 * @param tasks what became of the tasks
 * @param expectedRequests requests that were sent
 * @param expectedTasks tasks that were accepted
 */
record DemoResult(
        LoadResult load,
        HistoryCheck.RequestCounts requests,
        HistoryCheck.TaskCounts tasks,
        long expectedRequests,
        long expectedTasks) {

    /** Returns whether nothing was lost and nothing ran twice. A request that was refused in time is not lost. */
    boolean isCorrect() {
        return requests.isCorrect()
                && tasks.isCorrect()
                && load.count(RequestOutcome.Kind.MISMATCHED) == 0
                && load.count(RequestOutcome.Kind.BROKEN) == 0
                && load.count(RequestOutcome.Kind.ANSWERED) > 0
                && tasks.finished() == expectedTasks
                && tasks.evicted() == tasks.resumed();
    }
}
