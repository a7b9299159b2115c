package org.tamarackline.settings;

import java.util.List;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the line numbers of keys in the text of a TOML file, which the parsed tree does not keep. */
final class KeyLineFinder {

    private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[\\s*([A-Za-z0-9_.-]+)\\s*]\\s*(#.*)?");
    private static final Pattern KEY_ASSIGNMENT = Pattern.compile("\\s*\"?([A-Za-z0-9_ :.-]+?)\"?\\s*=.*");

    private final List<String> lines;

    KeyLineFinder(String text) {
        this.lines = text.lines().toList();
    }

    /**
     * Returns the line of {@code key} in {@code table}, counted from 1, or the line of the table if the key is absent.
     * The table name of the top level is empty.
     */
    OptionalInt lineOf(String table, String key) {
        String currentTable = "";
        for (int index = 0; index < lines.size(); index++) {
            String line = lines.get(index);
            Matcher header = TABLE_HEADER.matcher(line);
            if (header.matches()) {
                currentTable = header.group(1);
                continue;
            }
            Matcher assignment = KEY_ASSIGNMENT.matcher(line);
            if (currentTable.equals(table)
                    && assignment.matches()
                    && assignment.group(1).equals(key)) {
                return OptionalInt.of(index + 1);
            }
        }
        return lineOfTable(table.isEmpty() ? key : table);
    }

    private OptionalInt lineOfTable(String table) {
        for (int index = 0; index < lines.size(); index++) {
            Matcher header = TABLE_HEADER.matcher(lines.get(index));
            if (header.matches() && header.group(1).equals(table)) {
                return OptionalInt.of(index + 1);
            }
        }
        return OptionalInt.empty();
    }
}
