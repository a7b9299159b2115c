package org.tamarackline.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import static org.assertj.core.api.Assertions.assertThat;

/** Samples of a text in the Prometheus format; fails if the text is malformed. */
public final class PrometheusText {

    private static final String NAME = "[a-zA-Z_:][a-zA-Z0-9_:]*";
    private static final String LABEL = "[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\\n]|\\\\[\\\\\"n])*\"";
    private static final Pattern HELP = Pattern.compile("# HELP (" + NAME + ") \\S.*");
    private static final Pattern TYPE = Pattern.compile("# TYPE (" + NAME + ") (counter|gauge|histogram|summary)");
    private static final Pattern SAMPLE =
            Pattern.compile("(" + NAME + ")(?:\\{(" + LABEL + "(?:," + LABEL + ")*)})? (\\S+)");
    private static final Pattern LABEL_NAME = Pattern.compile("([a-zA-Z_][a-zA-Z0-9_]*)=\"");

    private final Map<String, String> types = new HashMap<>();
    private final Map<String, Double> values = new LinkedHashMap<>();
    private final Set<String> labelNames = new HashSet<>();

    public PrometheusText(String text) {
        assertThat(text).endsWith("\n");
        Set<String> described = new HashSet<>();
        for (String line : text.lines().toList()) {
            Matcher help = HELP.matcher(line);
            Matcher type = TYPE.matcher(line);
            if (help.matches()) {
                assertThat(described.add(help.group(1))).as(line).isTrue();
            } else if (type.matches()) {
                assertThat(types.put(type.group(1), type.group(2))).as(line).isNull();
            } else {
                addSample(line);
            }
        }
        assertThat(described).isEqualTo(types.keySet());
        checkHistograms();
    }

    private void addSample(String line) {
        Matcher sample = SAMPLE.matcher(line);
        assertThat(sample.matches()).as(line).isTrue();
        String family = types.containsKey(sample.group(1))
                ? sample.group(1)
                : sample.group(1).replaceFirst("_(bucket|count|sum)$", "");
        assertThat(types).as(line).containsKey(family);
        String labels = sample.group(2) == null ? "" : "{" + sample.group(2) + "}";
        assertThat(values.put(sample.group(1) + labels, Double.valueOf(sample.group(3))))
                .as(line)
                .isNull();
        Matcher name = LABEL_NAME.matcher(labels);
        while (name.find()) {
            labelNames.add(name.group(1));
        }
    }

    private void checkHistograms() {
        types.forEach((family, type) -> {
            if (!type.equals("histogram")) {
                return;
            }
            double previous = 0;
            for (Map.Entry<String, Double> entry : values.entrySet()) {
                if (entry.getKey().startsWith(family + "_bucket{")) {
                    assertThat(entry.getValue()).as(entry.getKey()).isGreaterThanOrEqualTo(previous);
                    previous = entry.getValue();
                }
            }
            assertThat(values.get(family + "_count")).as(family).isEqualTo(previous);
        });
    }

    /** Returns the value of a series, which must exist; its labels are in alphabetical order. */
    public double value(String series) {
        assertThat(values).containsKey(series);
        return values.get(series);
    }

    /** Returns all series. */
    public Set<String> series() {
        return values.keySet();
    }

    Map<String, String> types() {
        return types;
    }

    Set<String> labelNames() {
        return labelNames;
    }
}
