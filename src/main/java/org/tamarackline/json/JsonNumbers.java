package org.tamarackline.json;

import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;

/** Reads numbers of JSON documents within bounds. The conversions of the library wrap around or saturate instead. */
public final class JsonNumbers {

    /** Largest number up to which a double represents every whole number. */
    public static final long MAX_EXACT = 1L << 53;

    private JsonNumbers() {}

    /** Returns a whole number, also one that is written as 4.0; empty if the node is none or is out of bounds. */
    public static OptionalLong whole(JsonNode node, long min, long max) {
        if (node.isFloatingPointNumber() && node.doubleValue() != Math.rint(node.doubleValue())) {
            return OptionalLong.empty();
        }
        return truncated(node, min, max);
    }

    /** Returns a number without its fraction; empty if the node is no number or is out of bounds. */
    public static OptionalLong truncated(JsonNode node, long min, long max) {
        if (node.isIntegralNumber()) {
            return node.canConvertToLong() ? within(node.longValue(), min, max) : OptionalLong.empty();
        }
        // False for numbers that are not finite.
        if (node.isFloatingPointNumber() && Math.abs(node.doubleValue()) <= MAX_EXACT) {
            return within((long) node.doubleValue(), min, max);
        }
        return OptionalLong.empty();
    }

    private static OptionalLong within(long value, long min, long max) {
        return value >= min && value <= max ? OptionalLong.of(value) : OptionalLong.empty();
    }
}
