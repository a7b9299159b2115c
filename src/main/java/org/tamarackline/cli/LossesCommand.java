package org.tamarackline.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.tamarackline.fleet.losses.JobTimeAnalyzer;
import org.tamarackline.fleet.losses.JobTimeBreakdown;
import org.tamarackline.fleet.losses.TimeBreakdownTable;

/** Prints a breakdown of the time of jobs from the logs of all nodes: total, by queue and for the slowest jobs. */
final class LossesCommand implements Command {

    @Option(name = "--slowest", metaVar = "N", usage = "number of slowest jobs that get a separate row")
    private int slowest = 10;

    @Argument(metaVar = "LOG", usage = "log files of all nodes", required = true)
    private List<Path> logs = new ArrayList<>();

    @Override
    public int run() throws UsageException {
        JobTimeAnalyzer analyzer = new JobTimeAnalyzer();
        for (Path log : logs) {
            LogFiles.read(log, analyzer::add);
        }
        List<JobTimeBreakdown> breakdowns = analyzer.breakdowns();
        if (breakdowns.isEmpty()) {
            System.err.println(
                    "the logs contain no job submission; pass the logs of all nodes from the start of the jobs");
            return ExitCodes.FAILURE;
        }
        TimeBreakdownTable.lines(breakdowns, slowest).forEach(System.out::println);
        return ExitCodes.SUCCESS;
    }
}
