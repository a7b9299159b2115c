package org.tamarackline.logging;

/** Fields that a log line may contain besides its message. */
public enum LogField {
    /** Identifier of the caller's request. */
    REQUEST("request"),
    /** Identifier of the task. */
    TASK("task"),
    /** Identity of the node that writes the line. */
    NODE("node"),
    /** Epoch of the shard to which the line refers. */
    EPOCH("epoch");

    private final String key;

    LogField(String key) {
        this.key = key;
    }

    /** Returns the key of the field in the JSON line. */
    public String key() {
        return key;
    }
}
