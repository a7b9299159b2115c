package org.tamarackline.load;

import java.io.PrintStream;
import java.util.Locale;

/** Prints load results as tables. */
final class LoadTable {

    private LoadTable() {}

    static void print(PrintStream out, LoadReport report) {
        printHead(out);
        printLatency(out, "through entry", report.entry().latency());
        report.direct().ifPresent(direct -> printLatency(out, "direct", direct.latency()));
        printLatency(out, "send delay", report.entry().sendDelay());
        report.comparison().ifPresent(comparison -> printComparison(out, comparison));
        printOutcomes(out, "through entry", report.entry());
        report.direct().ifPresent(direct -> printOutcomes(out, "direct", direct));
    }

    static void printHead(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%-18s %9s %9s %9s %9s %9s %9s%n",
                "latency (ms)",
                "count",
                "p50",
                "p90",
                "p99",
                "p99.9",
                "max");
    }

    static void printLatency(PrintStream out, String name, LatencySummary latency) {
        out.printf(
                Locale.ROOT,
                "%-18s %9d %9.2f %9.2f %9.2f %9.2f %9.2f%n",
                name,
                latency.count(),
                latency.p50Ms(),
                latency.p90Ms(),
                latency.p99Ms(),
                latency.p999Ms(),
                latency.maxMs());
    }

    static void printOutcomes(PrintStream out, String name, LoadResult result) {
        out.printf(
                Locale.ROOT,
                "%s: %d requests, %d answered, %d mismatched, %d refused, %d broken, %d not sent%n  statuses %s, refusals %s%n",
                name,
                result.requests(),
                result.count(RequestOutcome.Kind.ANSWERED),
                result.count(RequestOutcome.Kind.MISMATCHED),
                result.count(RequestOutcome.Kind.REFUSED),
                result.count(RequestOutcome.Kind.BROKEN),
                result.count(RequestOutcome.Kind.NOT_SENT),
                result.statuses(),
                result.refusals());
    }

    private static void printComparison(PrintStream out, LoadReport.Comparison comparison) {
        out.printf(
                Locale.ROOT,
                "%-18s %9s %9.2f %9.2f %9.2f %9.2f%n",
                "added by entry",
                "",
                comparison.addedP50Ms(),
                comparison.addedP90Ms(),
                comparison.addedP99Ms(),
                comparison.addedP999Ms());
        out.printf(Locale.ROOT, "ratio to direct: p50 %.2f, p99 %.2f%n", comparison.p50Ratio(), comparison.p99Ratio());
    }
}
