package org.tamarackline.entry.operator;

import java.util.List;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import org.tamarackline.core.usage.UsageKey;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTotals;

/** Serves the usage of all nodes, as JSON or as comma-separated values for spreadsheets. */
@Singleton
@Path("/usage")
public final class UsageResource {

    private static final String CSV = "text/csv";
    private static final String CSV_HEADER =
            "team,kind,name,served,failed,useful_ms,repeated_ms,thrown_away_ms,complete\r\n";

    private final UsageSource source;

    @Inject
    UsageResource(UsageSource source) {
        this.source = source;
    }

    /**
     * Usage of all nodes.
     *
     * @param complete whether all nodes and the platform responded; if not, the amounts are too low
     * @param lines amounts by team, kind and name
     */
    public record UsageReport(boolean complete, List<UsageLine> lines) {}

    /**
     * Usage of one service, or of the tasks of one profile.
     *
     * @param team team whose services or jobs caused the usage
     * @param kind kind of work
     * @param name service of requests, or profile of tasks
     * @param served number of requests with a response or finished tasks
     * @param failed number of requests or tasks that failed or were cancelled
     * @param usefulMs work whose result was used, in milliseconds
     * @param repeatedMs work that had to be repeated because its result was lost, in milliseconds
     * @param thrownAwayMs work whose result was not used, in milliseconds
     */
    public record UsageLine(
            String team,
            UsageKey.Kind kind,
            String name,
            long served,
            long failed,
            long usefulMs,
            long repeatedMs,
            long thrownAwayMs) {

        private static UsageLine of(UsageSource.Line line) {
            UsageTotals totals = line.totals();
            return new UsageLine(
                    line.key().team().value(),
                    line.key().kind(),
                    line.key().name(),
                    totals.served(),
                    totals.failed(),
                    totals.usefulMs(),
                    totals.repeatedMs(),
                    totals.thrownAwayMs());
        }
    }

    /** Returns the usage as JSON. */
    @GET
    @Produces(MediaType.APPLICATION_JSON)
    public UsageReport json() {
        UsageSource.Report report = source.usage();
        return new UsageReport(
                report.complete(), report.lines().stream().map(UsageLine::of).toList());
    }

    /** Returns the usage as comma-separated values; names have no commas or quotation marks. */
    @GET
    @Produces(CSV)
    public String csv() {
        UsageReport usage = json();
        StringBuilder text = new StringBuilder(CSV_HEADER);
        for (UsageLine line : usage.lines()) {
            text.append("%s,%s,%s,%d,%d,%d,%d,%d,%b\r\n"
                    .formatted(
                            line.team(),
                            line.kind(),
                            line.name(),
                            line.served(),
                            line.failed(),
                            line.usefulMs(),
                            line.repeatedMs(),
                            line.thrownAwayMs(),
                            usage.complete()));
        }
        return text.toString();
    }
}
