package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The queues that are in force. */
public final class FleetConfiguration {

    /** No queues; what a node has before it has read the configuration. */
    public static final FleetConfiguration NONE = new FleetConfiguration(0, List.of());

    private final long version;
    private final int queues;
    private final Map<String, List<QueueDefinition>> byHost = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version number that rises with each change
     */
    public FleetConfiguration(long version, List<QueueDefinition> queues) {
        this.version = version;
        this.queues = queues.size();
        for (QueueDefinition queue : queues) {
            byHost.merge(queue.host(), List.of(queue), FleetConfiguration::joined);
        }
    }

    private static List<QueueDefinition> joined(List<QueueDefinition> first, List<QueueDefinition> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    /** Returns the number of the configuration, 0 for {@link #NONE}. */
    public long version() {
        return version;
    }

    /** Returns the number of queues. */
    public int size() {
        return queues;
    }

    /** Returns the queue with the longest prefix that a path of a host begins with. */
    public Optional<QueueDefinition> match(String host, String path) {
        QueueDefinition best = null;
        for (QueueDefinition queue : byHost.getOrDefault(host, List.of())) {
            boolean longer = best == null
                    || queue.pathPrefix().length() > best.pathPrefix().length();
            if (longer && path.startsWith(queue.pathPrefix())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}
