package org.tamarackline.entry.jobs;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.inject.Inject;
import org.tamarackline.core.model.NodeId;
import org.tamarackline.core.usage.UsageKey;
import org.tamarackline.core.usage.UsageSource;
import org.tamarackline.core.usage.UsageTotals;
import org.tamarackline.entry.cluster.Member;
import org.tamarackline.store.PlatformUnavailableException;

/**
 * Adds up the usage of the whole installation: the usage of requests from the table, the usage of tasks from the nodes that
 * own the racks. The report is incomplete if one of them cannot be read.
 */
final class UsageAggregator implements UsageSource {

    private final JobsContext context;
    private final RackOwnerClient owners;
    private final UsageTable table;

    @Inject
    UsageAggregator(JobsContext context, RackOwnerClient owners, UsageTable table) {
        this.context = context;
        this.owners = owners;
        this.table = table;
    }

    @Override
    public Report usage() {
        Map<UsageKey, UsageTotals> totals = new TreeMap<>();
        boolean complete = addRequests(totals);
        complete = addTasks(context.cluster().self(), totals) && complete;
        for (Member peer : context.cluster().peers()) {
            complete = addTasks(peer.node(), totals) && complete;
        }
        return new Report(
                totals.entrySet().stream()
                        .map(entry -> new Line(entry.getKey(), entry.getValue()))
                        .toList(),
                complete);
    }

    private boolean addRequests(Map<UsageKey, UsageTotals> totals) {
        try {
            table.readTotals().forEach((key, amount) -> totals.merge(key, amount, UsageTotals::plus));
            return true;
        } catch (PlatformUnavailableException e) {
            return false;
        }
    }

    private boolean addTasks(NodeId node, Map<UsageKey, UsageTotals> totals) {
        Optional<JobMessages.UsageResponse> response =
                owners.tryCall(node, new JobMessages.UsageRequest(), JobMessages.UsageResponse.class);
        response.ifPresent(
                usage -> usage.lines().forEach(line -> totals.merge(line.key(), line.totals(), UsageTotals::plus)));
        return response.isPresent();
    }
}
