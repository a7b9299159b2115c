package org.tamarackline.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * One TOML table of a settings file. Each read adds its violations to the list shared by all tables and returns a
 * usable value, so that parsing continues and finds every violation.
 */
final class SettingsTable {

    private static final String MASK = "***";

    private final String tableName;
    private final JsonNode content;
    private final KeyLineFinder lineFinder;
    private final List<SettingsViolation> violations;
    private final Set<String> knownKeys = new LinkedHashSet<>();
    private final Set<String> invalidKeys = new LinkedHashSet<>();

    SettingsTable(String tableName, JsonNode content, KeyLineFinder lineFinder, List<SettingsViolation> violations) {
        this.tableName = tableName;
        this.content = content;
        this.lineFinder = lineFinder;
        this.violations = violations;
    }

    /** Returns the nested table {@code name}, which is empty if the file does not contain it. */
    SettingsTable table(String name) {
        JsonNode child = value(name);
        if (!child.isMissingNode() && !child.isObject()) {
            report(name, child.toString(), "must be a table, written as [%s]".formatted(name));
            child = MissingNode.getInstance();
        }
        return new SettingsTable(name, child, lineFinder, violations);
    }

    /** Reads a required string. */
    String required(String key, Predicate<String> condition, String rule) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            report(key, "", "is missing; " + rule);
            return "";
        }
        return validString(key, node, condition, rule).orElse("");
    }

    /** Reads a list of strings, which is empty if the key is absent. */
    List<String> list(String key, Predicate<String> condition, String rule) {
        JsonNode node = value(key);
        List<String> values = new ArrayList<>();
        if (!node.isMissingNode() && !node.isArray()) {
            report(key, node.toString(), "must be a list, written as [\"...\", \"...\"]");
            return values;
        }
        for (JsonNode element : node) {
            validString(key, element, condition, rule).ifPresent(values::add);
        }
        return values;
    }

    /** Reads a duration, given as a whole number of milliseconds. */
    Duration duration(String key, Duration defaultValue, Duration min, Duration max) {
        long valueMs = number(key, defaultValue.toMillis(), min.toMillis(), max.toMillis(), " ms");
        return Duration.ofMillis(valueMs);
    }

    /** Reads a whole number. */
    int integer(String key, int defaultValue, int min, int max) {
        return Math.toIntExact(number(key, defaultValue, min, max, ""));
    }

    /** Reads a boolean. */
    boolean bool(String key, boolean defaultValue) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isBoolean()) {
            report(key, node.toString(), "must be true or false");
            return defaultValue;
        }
        return node.booleanValue();
    }

    /** Reads an optional credential; violations never contain its value. */
    Optional<String> secret(String key) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return Optional.empty();
        }
        if (!node.isTextual()) {
            report(key, MASK, "must be a string in quotation marks");
            return Optional.empty();
        }
        return Optional.of(node.textValue());
    }

    /** Reads an optional file name. */
    Optional<String> fileName(String key) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return Optional.empty();
        }
        return validString(key, node, name -> !name.isBlank(), "must be the name of a file");
    }

    /** Returns the keys of this table in file order. */
    List<String> keys() {
        List<String> keys = new ArrayList<>();
        content.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    /** Adds a violation for {@code key}. */
    void report(String key, String value, String message) {
        invalidKeys.add(key);
        violations.add(new SettingsViolation(qualifiedKey(key), value, message, lineFinder.lineOf(tableName, key)));
    }

    /** Adds a violation for a credential, whose value is masked. */
    void reportSecret(String key, String message) {
        report(key, MASK, message);
    }

    /** Returns whether these keys have no violation so far, so that rules over several keys may use their values. */
    boolean areValid(String... keys) {
        return List.of(keys).stream().noneMatch(invalidKeys::contains);
    }

    /** Adds a violation for every key that no read has requested. */
    void reportUnknownKeys() {
        for (String key : keys()) {
            if (!knownKeys.contains(key)) {
                report(key, "", "is not a known key; known keys in this table: " + String.join(", ", knownKeys));
            }
        }
    }

    /** Returns the credentials by key, for a table whose keys the operator chooses. */
    Map<String, String> secretsByKey() {
        Map<String, String> values = new LinkedHashMap<>();
        for (String key : keys()) {
            secret(key).ifPresent(value -> values.put(key, value));
        }
        return values;
    }

    private JsonNode value(String key) {
        knownKeys.add(key);
        return content.path(key);
    }

    private Optional<String> validString(String key, JsonNode node, Predicate<String> condition, String rule) {
        if (!node.isTextual() || !condition.test(node.textValue())) {
            report(key, node.toString(), rule);
            return Optional.empty();
        }
        return Optional.of(node.textValue());
    }

    private long number(String key, long defaultValue, long min, long max, String unit) {
        JsonNode node = value(key);
        if (node.isMissingNode()) {
            return defaultValue;
        }
        if (!node.isIntegralNumber() || !node.canConvertToLong() || node.longValue() < min || node.longValue() > max) {
            report(key, node.toString(), "must be a whole number from %d to %d%s".formatted(min, max, unit));
            return defaultValue;
        }
        return node.longValue();
    }

    private String qualifiedKey(String key) {
        return tableName.isEmpty() ? key : tableName + "." + key;
    }
}
