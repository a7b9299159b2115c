package org.tamarackline.load;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

import org.tamarackline.core.model.Resources;

/** Configures a local cluster through the operator port of an entry node. */
public final class LocalOperatorClient {

    private static final Duration ACCEPT_TIMEOUT = Duration.ofSeconds(20);

    private final JsonHttpClient http;
    private final String operatorUrl;
    private final Optional<String> token;

    /** Creates a client that sends its requests to the given node. */
    public LocalOperatorClient(LocalCluster cluster, int node) {
        http = cluster.http();
        operatorUrl = cluster.entryAddresses().get(node).operatorUrl();
        token = Optional.of(cluster.credentials().operatorToken());
    }

    /** Adds a team. */
    public void putTeam(String team, Resources guaranteed) throws IOException, InterruptedException {
        put("/teams/" + segment(team), Map.of("guaranteed", guaranteed));
    }

    /** Adds a service. */
    public void putService(String service, String profile, String team) throws IOException, InterruptedException {
        put("/services/" + segment(service), Map.of("profile", profile, "team", team));
    }

    /** Retries until the change is accepted, because a concurrent change or a starting node can cause a refusal. */
    private void put(String path, Object body) throws IOException, InterruptedException {
        Waits.until("PUT " + path + " is accepted", ACCEPT_TIMEOUT, () -> {
            long version = version();
            String url = "%s%s?version=%d".formatted(operatorUrl, path, version);
            return http.send("PUT", url, token, Optional.of(body)).isSuccess();
        });
    }

    private long version() throws IOException, InterruptedException {
        return http.send("GET", operatorUrl + "/profiles", token, Optional.empty())
                .body()
                .path("version")
                .asLong(-1);
    }

    private static String segment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
