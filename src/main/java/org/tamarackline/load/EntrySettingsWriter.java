package org.tamarackline.load;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the settings file of a local entry node. */
final class EntrySettingsWriter {

    static final String DATA_CENTRE = "dc-1";
    static final String CALLER = "demo";

    private EntrySettingsWriter() {}

    /**
     * Returns the settings of one node as TOML.
     *
     * @param node addresses of the node
     * @param peers addresses of all nodes
     * @param tables additional settings by TOML table
     */
    static String write(
            EntryAddresses node,
            List<EntryAddresses> peers,
            String platformUrl,
            LocalCredentials credentials,
            Map<String, Map<String, Object>> tables) {
        String seedPeers = peers.stream()
                .filter(peer -> !peer.equals(node))
                .map(peer -> quoted(peer.peer()))
                .collect(Collectors.joining(", "));
        StringBuilder text = new StringBuilder();
        line(text, "node", quoted(node.peer()));
        line(text, "region", quoted("region-1"));
        line(text, "data_centre", quoted(DATA_CENTRE));
        line(text, "caller_address", quoted(node.caller()));
        line(text, "operator_address", quoted(node.operator()));
        line(text, "platform_url", quoted(platformUrl));
        line(text, "seed_peers", "[" + seedPeers + "]");
        line(text, "peer_key", quoted(credentials.peerKey()));
        line(text, "operator_token", quoted(credentials.operatorToken()));
        text.append("\n[caller_tokens]\n");
        line(text, CALLER, quoted(credentials.callerToken()));
        tables.forEach((table, values) -> {
            text.append("\n[").append(table).append("]\n");
            values.forEach((key, value) -> line(text, key, value.toString()));
        });
        return text.toString();
    }

    private static void line(StringBuilder text, String key, String value) {
        text.append(key).append(" = ").append(value).append('\n');
    }

    private static String quoted(String value) {
        return '"' + value + '"';
    }
}
