package org.tamarackline.load;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import ch.qos.logback.classic.Level;
import io.dropwizard.logging.common.BootstrapLogging;
import org.kohsuke.args4j.Option;
import org.tamarackline.cli.Command;
import org.tamarackline.cli.ExitCodes;
import org.tamarackline.cli.UsageException;
import org.tamarackline.standin.StandinJson;
import org.tamarackline.standin.upstream.StandinUpstream;

/**
 * Generates open-loop load on entry nodes and prints latency percentiles.
 *
 * <p>With {@code --direct} it also sends the same load directly to the upstream stand-ins. Rounds of both alternate, so
 * that they run under the same conditions of the machine.
 */
public final class LoadCommand implements Command {

    private static final int CONNECTIONS_PER_ENTRY_NODE = 256;

    /** Maximum number of connections that a runner accepts. */
    private static final int CONNECTIONS_PER_RUNNER = 64;

    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    @Option(name = "--target", metaVar = "URL", usage = "base URL of an entry node; repeatable", required = true)
    private List<String> targets = new ArrayList<>();

    @Option(name = "--direct", metaVar = "URL", usage = "base URL of an upstream for direct load; repeatable")
    private List<String> directTargets = new ArrayList<>();

    @Option(name = "--service", metaVar = "NAME", usage = "service to call")
    private String service = "quotes";

    @Option(name = "--rate", metaVar = "N", usage = "requests a second")
    private int ratePerSecond = 200;

    @Option(
            name = "--duration-s",
            metaVar = "S",
            usage = "seconds of measured load through the entry nodes and, with --direct, of direct load")
    private int durationSeconds = 10;

    @Option(name = "--warmup-s", metaVar = "S", usage = "seconds of load before the measurement")
    private int warmupSeconds = 2;

    @Option(name = "--rounds", metaVar = "N", usage = "rounds into which the load is split with --direct")
    private int rounds = 2;

    @Option(name = "--body-bytes", metaVar = "N", usage = "length of each request's body")
    private int bodyBytes = 200;

    @Option(name = "--work-ms", metaVar = "MS", usage = "service time requested of the upstreams")
    private int workMs = 5;

    @Option(name = "--deadline-ms", metaVar = "MS", usage = "deadline of each request")
    private int deadlineMs = 5_000;

    @Option(name = "--token-file", metaVar = "FILE", usage = "file with the caller's token")
    private Path tokenFile;

    @Option(name = "--report", metaVar = "FILE", usage = "JSON file to write the report to")
    private Path reportFile;

    @Override
    public int run() throws Exception {
        BootstrapLogging.bootstrap(Level.WARN);
        checkOptions();
        Duration measuredDuration = Duration.ofSeconds(durationSeconds);
        LoadPlan plan = new LoadPlan(
                ratePerSecond, measuredDuration, "/services/" + service + "/load", headers(), bodyBytes, TIMEOUT);
        LoadReport report = measure(plan, measuredDuration);
        LoadTable.print(System.out, report);
        if (reportFile != null) {
            StandinJson.mapper().writerWithDefaultPrettyPrinter().writeValue(reportFile.toFile(), report);
        }
        return isCorrect(report.entry()) ? ExitCodes.SUCCESS : ExitCodes.FAILURE;
    }

    private void checkOptions() throws UsageException {
        if (ratePerSecond < 1 || durationSeconds < 1 || rounds < 1 || warmupSeconds < 0 || bodyBytes < 0) {
            throw new UsageException(
                    "--rate, --duration-s and --rounds must be at least 1, --warmup-s and --body-bytes at least 0");
        }
    }

    private LoadReport measure(LoadPlan plan, Duration measuredDuration) throws InterruptedException {
        LoadRecorder entry = new LoadRecorder();
        LoadRecorder direct = new LoadRecorder();
        LoadPlan warmupPlan = plan.withDuration(Duration.ofSeconds(warmupSeconds));
        boolean withDirect = !directTargets.isEmpty();
        int roundCount = withDirect ? rounds : 1;
        LoadPlan roundPlan = plan.withDuration(measuredDuration.dividedBy(roundCount));
        try (LoadClient entryClient = new LoadClient(CONNECTIONS_PER_ENTRY_NODE, TIMEOUT);
                LoadClient directClient = new LoadClient(CONNECTIONS_PER_RUNNER, TIMEOUT)) {
            send(entryClient, new LoadRecorder(), warmupPlan, targets);
            if (withDirect) {
                send(directClient, new LoadRecorder(), warmupPlan, directTargets);
            }
            for (int i = 0; i < roundCount; i++) {
                if (withDirect) {
                    send(directClient, direct, roundPlan, directTargets);
                }
                send(entryClient, entry, roundPlan, targets);
            }
        }
        Optional<LoadResult> directResult = withDirect ? Optional.of(direct.result()) : Optional.empty();
        return LoadReport.of(plan, measuredDuration, targets.size(), entry.result(), directResult);
    }

    private static void send(LoadClient client, LoadRecorder recorder, LoadPlan plan, List<String> urls)
            throws InterruptedException {
        new LoadGenerator(client, recorder, request -> {})
                .run(plan, urls, UUID.randomUUID().toString());
    }

    private Map<String, String> headers() throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(StandinUpstream.WORK_HEADER, Integer.toString(workMs));
        headers.put("Tamarackline-Deadline-Ms", Integer.toString(deadlineMs));
        if (tokenFile != null) {
            headers.put("Authorization", "Bearer " + Files.readString(tokenFile).strip());
        }
        return headers;
    }

    private static boolean isCorrect(LoadResult result) {
        return result.count(RequestOutcome.Kind.ANSWERED) > 0
                && result.count(RequestOutcome.Kind.MISMATCHED) == 0
                && result.count(RequestOutcome.Kind.BROKEN) == 0;
    }
}
