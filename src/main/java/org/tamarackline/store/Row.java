package org.tamarackline.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A row of the platform's transactional table.
 *
 * @param key key of the row
 * @param value JSON document of at most 64 KB
 * @param version incremented by each write, 1 for a new row
 */
public record Row(String key, JsonNode value, long version) {}
