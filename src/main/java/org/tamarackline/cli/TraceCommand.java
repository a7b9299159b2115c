package org.tamarackline.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.tamarackline.fleet.JobTrace;

/** Prints the log lines of all nodes about one job, in order of time. */
final class TraceCommand implements Command {

    @Option(name = "--job", metaVar = "ID", usage = "identifier in the path of the caller's request", required = true)
    private String job;

    @Argument(metaVar = "LOG", usage = "log files of all nodes", required = true)
    private List<Path> logs = new ArrayList<>();

    @Override
    public int run() throws UsageException {
        JobTrace trace = new JobTrace(job);
        for (Path log : logs) {
            LogFiles.read(log, trace::add);
        }
        List<String> lines = trace.lines();
        lines.forEach(System.out::println);
        if (lines.isEmpty()) {
            System.err.printf(
                    "no log line mentions job %s; pass the logs of the nodes that were running when it was submitted%n",
                    job);
            return ExitCodes.FAILURE;
        }
        return ExitCodes.SUCCESS;
    }
}
