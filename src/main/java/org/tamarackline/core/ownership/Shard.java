package org.tamarackline.core.ownership;

import org.tamarackline.core.model.DataCentre;
import org.tamarackline.core.model.ShardId;

/**
 * A shard: a rack of workers or a runner group, owned by one node at a time.
 *
 * @param id identity of the shard
 * @param kind kind of the shard
 * @param family family of the shard; the shards of one family are spread evenly over the nodes
 * @param dataCentre data centre of the rack or runner group
 */
public record Shard(ShardId id, Kind kind, String family, DataCentre dataCentre) {

    private static final String RACK_PREFIX = "rack:";
    private static final String GROUP_PREFIX = "group:";
    private static final String RACK_FAMILY = "rack";

    /** Kinds of shards. */
    public enum Kind {
        /** A rack of workers. */
        RACK,
        /** A group of runners of one service in one data centre. */
        GROUP
    }

    /** Returns the shard with this identity. */
    public static Shard of(ShardId id, DataCentre dataCentre) {
        if (isRack(id)) {
            return new Shard(id, Kind.RACK, RACK_FAMILY, dataCentre);
        }
        String text = id.value();
        return new Shard(id, Kind.GROUP, text.substring(0, text.lastIndexOf(':')), dataCentre);
    }

    /** Returns the identity of the rack. */
    public static ShardId rackId(DataCentre dataCentre, String rack) {
        return new ShardId(RACK_PREFIX + dataCentre + ":" + rack);
    }

    /** Returns the identity of a runner group. {@code service} is the role of its runners in the VM list. */
    public static ShardId groupId(String service, DataCentre dataCentre, int number) {
        return new ShardId(GROUP_PREFIX + service + ":" + dataCentre + ":" + number);
    }

    /** Returns whether the shard is a rack. */
    public static boolean isRack(ShardId id) {
        return id.value().startsWith(RACK_PREFIX);
    }

    /** Returns whether the shard is a runner group. */
    public static boolean isGroup(ShardId id) {
        return id.value().startsWith(GROUP_PREFIX);
    }
}
