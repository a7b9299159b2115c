package org.tamarackline.cli;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.tamarackline.fleet.JobTrace;

/** Prints what the logs of all nodes say about one job, in order of time. */
final class TraceCommand implements Command {

    @Option(name = "--job", metaVar = "ID", usage = "identifier in the path of the caller's request", required = true)
    private String job;

    @Argument(metaVar = "LOG", usage = "log files of all nodes", required = true)
    private List<Path> logs = new ArrayList<>();

    @Override
    public int run() throws UsageException {
        JobTrace trace = new JobTrace(job);
        for (Path log : logs) {
            read(log, trace);
        }
        List<String> lines = trace.lines();
        lines.forEach(System.out::println);
        if (lines.isEmpty()) {
            System.err.printf(
                    "no line names job %s; give the logs of the nodes that were up when it was submitted%n", job);
            return ExitCodes.FAILED;
        }
        return ExitCodes.DONE;
    }

    private static void read(Path log, JobTrace trace) throws UsageException {
        try (Stream<String> lines = Files.lines(log)) {
            lines.forEach(trace::add);
        } catch (MalformedInputException notText) {
            throw new UsageException("log \"%s\" is not UTF-8 text".formatted(log));
        } catch (IOException e) {
            throw new UsageException("log \"%s\" cannot be read; check the path".formatted(log));
        }
    }
}
