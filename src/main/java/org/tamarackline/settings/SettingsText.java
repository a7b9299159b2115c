package org.tamarackline.settings;

import java.util.List;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds keys in the text of a TOML file, because the parsed tree does not keep their lines. */
final class SettingsText {

    private static final Pattern TABLE = Pattern.compile("\\s*\\[\\s*([A-Za-z0-9_.-]+)\\s*]\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*\"?([A-Za-z0-9_ :.-]+?)\"?\\s*=.*");

    private final List<String> lines;

    SettingsText(String text) {
        this.lines = text.lines().toList();
    }

    /** Returns the line of {@code key} in {@code table}, counted from 1; the top level is the empty table name. */
    OptionalInt lineOf(String table, String key) {
        String current = "";
        for (int index = 0; index < lines.size(); index++) {
            String line = lines.get(index);
            Matcher header = TABLE.matcher(line);
            if (header.matches()) {
                current = header.group(1);
                continue;
            }
            Matcher assignment = KEY.matcher(line);
            if (current.equals(table)
                    && assignment.matches()
                    && assignment.group(1).equals(key)) {
                return OptionalInt.of(index + 1);
            }
        }
        return lineOfTable(table.isEmpty() ? key : table);
    }

    private OptionalInt lineOfTable(String table) {
        for (int index = 0; index < lines.size(); index++) {
            Matcher header = TABLE.matcher(lines.get(index));
            if (header.matches() && header.group(1).equals(table)) {
                return OptionalInt.of(index + 1);
            }
        }
        return OptionalInt.empty();
    }
}
