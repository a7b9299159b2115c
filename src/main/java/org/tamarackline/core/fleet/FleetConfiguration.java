package org.tamarackline.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** The queue definitions of one configuration version, with a lookup by host and path. */
public final class FleetConfiguration {

    /** The empty configuration, used until the first one has been read. */
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

    /** Returns the version, 0 for {@link #NONE}. */
    public long version() {
        return version;
    }

    /** Returns the number of queues. */
    public int size() {
        return queues;
    }

    /** Returns the queue of a host with the longest path prefix that matches a path. */
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
