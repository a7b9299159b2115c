package org.tamarackline.load;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;

/** Prints the result of the demonstration as tables. */
final class DemoTable {

    private DemoTable() {}

    static void print(PrintStream out, DemoResult result, Duration duration) {
        out.println();
        LoadTable.printHead(out);
        LoadTable.printLatency(out, "latency-critical", result.load().latency());
        LoadTable.printOutcomes(out, "latency-critical", result.load());
        out.println();
        HistoryCheck.RequestCounts requests = result.requests();
        HistoryCheck.TaskCounts tasks = result.tasks();
        out.printf("%-44s %9s %9s%n", "compared with the stand-ins' histories", "requests", "tasks");
        printRow(out, "accepted", result.expectedRequests(), result.expectedTasks());
        printRow(out, "answered or finished", requests.answered(), tasks.finished());
        printRow(out, "lost", requests.lost(), tasks.lost());
        printRow(out, "run twice", requests.runTwice(), tasks.runTwice());
        printRow(out, "run although reported as not run", requests.runThoughReportedNotRun(), 0);
        out.printf(
                "evicted to make room: %d, resumed: %d, repeated work: %d ms%n",
                tasks.evicted(), tasks.resumed(), tasks.repeatedWorkMs());
        out.printf("requests beyond a runner's slots: %d%n", requests.overloads());
        String verdict = result.isCorrect() ? "nothing was lost and nothing ran twice" : "FAILED: see the table above";
        out.printf(Locale.ROOT, "%s (%.1f s)%n", verdict, duration.toMillis() / 1000.0);
    }

    private static void printRow(PrintStream out, String name, long requests, long tasks) {
        out.printf("%-44s %9d %9d%n", name, requests, tasks);
    }
}
