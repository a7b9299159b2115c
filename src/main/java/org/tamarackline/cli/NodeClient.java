package org.tamarackline.cli;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** HTTP client for the operator port of a node. */
final class NodeClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final int FIRST_ERROR_STATUS = 300;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();
    private final String nodeUrl;
    private final String token;

    NodeClient(String nodeUrl, String token) {
        this.nodeUrl = nodeUrl;
        this.token = token;
    }

    /** Returns {@code segment} percent-encoded for use in a path. */
    static String pathSegment(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Reads a JSON document. */
    JsonNode get(String path) throws NodeRefusedException, IOException, InterruptedException {
        return MAPPER.readTree(getText(path, "application/json"));
    }

    /** Reads a document of the given media type as text. */
    String getText(String path, String mediaType) throws NodeRefusedException, IOException, InterruptedException {
        return send(request(path).header("Accept", mediaType).GET().build());
    }

    /** Writes a JSON document and returns the response. */
    JsonNode put(String path, JsonNode body) throws NodeRefusedException, IOException, InterruptedException {
        HttpRequest request = request(path)
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
        return MAPPER.readTree(send(request));
    }

    /** Sends a POST request without a body and returns the response. */
    JsonNode post(String path) throws NodeRefusedException, IOException, InterruptedException {
        HttpRequest request =
                request(path).POST(HttpRequest.BodyPublishers.noBody()).build();
        return MAPPER.readTree(send(request));
    }

    /** Deletes the resource at the path and returns the response. */
    JsonNode delete(String path) throws NodeRefusedException, IOException, InterruptedException {
        return MAPPER.readTree(send(request(path).DELETE().build()));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(nodeUrl + path))
                .timeout(REQUEST_TIMEOUT)
                .header("Authorization", "Bearer " + token);
    }

    private String send(HttpRequest request) throws NodeRefusedException, IOException, InterruptedException {
        HttpResponse<String> response = exchange(request);
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            throw refusedException(response);
        }
        return response.body();
    }

    private HttpResponse<String> exchange(HttpRequest request) throws IOException, InterruptedException {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IOException("no answer from %s; check --node and that the node runs".formatted(nodeUrl), e);
        }
    }

    private static NodeRefusedException refusedException(HttpResponse<String> response) {
        try {
            JsonNode body = MAPPER.readTree(response.body());
            String code = body.path("code").asText("HTTP " + response.statusCode());
            return new NodeRefusedException(code, body.path("detail").asText(""));
        } catch (JsonProcessingException e) {
            return new NodeRefusedException(
                    "HTTP " + response.statusCode(),
                    "the response is not JSON; check that --node is the URL of a node");
        }
    }
}
